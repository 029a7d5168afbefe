// A late heartbeat of an upstream that has left reaches a process that was started after the leave.

#include "../support-2/standins.h"

namespace {

using namespace review;

constexpr int DrainMs = 2000;
constexpr int StableWindowMs = 3000;

/** @brief Clients of one machine: a request every 25 ms, each on a connection of its own. */
class Clients
{
public:
    Clients(const Machine &machine, std::string name)
        : m_machine(machine)
        , m_name(std::move(name))
        , m_sending([this] { run(); })
    {
    }
    ~Clients()
    {
        stop();
    }
    Clients(const Clients &) = delete;
    Clients &operator=(const Clients &) = delete;

    void stop()
    {
        m_isStopping = true;
        if (m_sending.joinable()) {
            m_sending.join();
        }
    }

private:
    void run()
    {
        std::vector<std::thread> threads;
        for (int number = 0; !m_isStopping; ++number) {
            threads.emplace_back([this, number] { request(number); });
            sleepMs(25);
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
    }
    void request(int number) const
    {
        Request request;
        request.method = "POST";
        request.target = "/book/" + std::to_string(number);
        request.host = "visits.example";
        request.id = m_name + "-" + std::to_string(number);
        request.key = "key-of-garden";
        request.body = "booking " + std::to_string(number);
        request.deadlineMs = 3000;
        const std::int64_t sentAt = nowMs();
        const Answer answer = send(m_machine.ip(), m_machine.caller, request);
        note("request " + request.id + " sent at " + std::to_string(sentAt) + " to " + m_machine.name() + " -> "
             + std::to_string(answer.status));
    }

    const Machine &m_machine;
    std::string m_name;
    std::atomic<bool> m_isStopping{false};
    std::thread m_sending;
};

int run()
{
    const Workspace folder;
    const Deployment deployment;
    Store store("127.0.6.1", freePort("127.0.6.1"));
    store.put("keyed.op",
              "config",
              configText(3,
                         serviceText("booking-svc"),
                         R"({"Name":"garden","ApiKeys":["key-of-garden"],"Priority":1,"RatePerS":400,"Burst":400})",
                         R"({"Host":"visits.example","Paths":[)"
                             + routeText("r-book", "/book/", "unsafe", 2000, "booking-svc") + "]}"));
    Machine first("m-1", "127.0.6.11", "addis-bole", "booking-svc", store.address(), deployment, folder.path());
    Machine second("m-2", "127.0.6.12", "addis-bole", "booking-svc", store.address(), deployment, folder.path());
    first.start(true);
    second.start(true);
    Upstream leaving(first, "i-leaving", freePort(first.ip()), 20, 160);
    Upstream staying(second, "i-staying", freePort(second.ip()), 20, 160);
    if (!first.waitUntilReady(15'000) || !second.waitUntilReady(15'000)) {
        std::fprintf(stderr, "the machines are not ready\n");
        return CouldNotRun;
    }
    leaving.startHeartbeats();
    staying.startHeartbeats();
    sleepMs(2000);
    Clients clients(second, "c");
    sleepMs(3000);
    if (leaving.runs().empty() || staying.runs().empty()) {
        std::fprintf(stderr, "the upstreams get no requests\n");
        return CouldNotRun;
    }

    // The last heartbeat before the leave is held up on the way for 2.6 s.
    leaving.stopHeartbeats();
    const std::string late = leaving.heartbeatText("ready");
    const std::int64_t lateSentAt = nowMs();
    note("heartbeat ready of i-leaving sent, held up on the way");
    sleepMs(200);
    if (!leaving.leave()) {
        std::fprintf(stderr, "the leave is not acknowledged\n");
        return CouldNotRun;
    }
    const std::int64_t acknowledgedAt = nowMs();
    std::int64_t inTouchFrom = 0;
    if (isTrouble()) {
        sleepMs(300);
        first.kill(SIGKILL);
        first.wait(2000);
        sleepMs(800);
        first.start(false);
        inTouchFrom = nowMs() + StableWindowMs;
    }
    sleepUntil(lateSentAt + 2600);
    leaving.call(late, "late heartbeat arrives");

    // It serves on for many seconds after its leave, as the pages allow, and ends.
    sleepUntil(acknowledgedAt + 6500);
    leaving.exit();
    sleepMs(1000);
    clients.stop();

    const std::int64_t boundAt = std::max(acknowledgedAt + DrainMs, inTouchFrom);
    int late1 = 0;
    int counted = 0;
    int cut = 0;
    for (const Run &run : leaving.runs()) {
        late1 += run.arrivedAt > acknowledgedAt + DrainMs ? 1 : 0;
        counted += run.arrivedAt > boundAt ? 1 : 0;
        cut += run.arrivedAt > acknowledgedAt + DrainMs && run.endedAt == 0 ? 1 : 0;
    }
    const std::string result = "leave acknowledged at " + std::to_string(acknowledgedAt) + ", " + std::to_string(late1)
                               + " requests reached i-leaving later than DrainMs after it, " + std::to_string(counted)
                               + " of them passed on by machines in touch, " + std::to_string(cut)
                               + " were cut when it ended";
    note(result);
    std::printf("%s\n", result.c_str());
    return counted > 0 ? Broken : Held;
}

}

int main(int, char **argv)
{
    Record::instance().open(argv[1]);
    std::signal(SIGPIPE, SIG_IGN);
    return run();
}
