// LOST: a stopping process passes on requests that it reads behind its last answer on a connection.
#include "../support/rig.h"

using namespace review;

namespace {

constexpr milliseconds StableWindow(3000);
constexpr milliseconds OneWay(8);
constexpr milliseconds Grace(6000);
constexpr int Clients = 30;

/** @brief The line between clients and a machine: bytes arrive after the one-way time of the zone's clients. */
class DelayLine
{
public:
    DelayLine(const Address &own, Address target)
        : m_target(std::move(target))
        , m_server(own, [this](Connection &near) { serve(near); })
    {
    }

private:
    void serve(Connection &near)
    {
        const auto far = Connection::open(m_target);
        if (!far) {
            return;
        }
        std::thread back([&] { forward(*far, near); });
        forward(near, *far);
        back.join();
    }
    static void forward(Connection &from, Connection &to)
    {
        std::mutex mutex;
        std::condition_variable changed;
        std::deque<std::pair<TimePoint, std::string>> pieces;
        std::thread writer([&] {
            for (;;) {
                std::unique_lock lock(mutex);
                changed.wait(lock, [&] { return !pieces.empty(); });
                const auto [at, bytes] = pieces.front();
                pieces.pop_front();
                lock.unlock();
                std::this_thread::sleep_until(at);
                if (bytes.empty()) {
                    to.shutDownWriting();
                    return;
                }
                to.write(bytes);
            }
        });
        for (bool isOpen = true; isOpen;) {
            const std::string bytes = from.readBytes();
            isOpen = !bytes.empty();
            const std::scoped_lock lock(mutex);
            pieces.emplace_back(Clock::now() + OneWay, bytes);
            changed.notify_one();
        }
        writer.join();
    }

    Address m_target;
    Server m_server;
};

/** @brief What a client saw of a request. */
struct Sent
{
    std::string id;
    bool isFirst = true; ///< Not sent behind another one.
    bool isAnswered = false;
    TimePoint sentAt;
};

bool isRuleBroken(Record &record)
{
    Deployment deployment({{"zone-a", "front"}, {"zone-a", "back"}}, record);
    deployment.store->put("keyed.op",
                          "config",
                          configuration(1,
                                        {{.name = "r-cancel", .prefix = "/cancel/", .service = "back"}},
                                        R"([{"Name":"garden","ApiKeys":["key-of-garden"],"Priority":1}])"));
    deployment.startAll();
    const Machine &first = deployment.machine(0);
    Endpoint front(first, "i-front", 8, record);
    Endpoint back(deployment.machine(1), "i-back", 100, record);
    front.startHeartbeats(milliseconds(1500));
    back.startHeartbeats(milliseconds(1500));
    deployment.waitUntilReady();
    sleepFor(StableWindow + milliseconds(500));
    Address line = first.outbound();
    line.port = first.basePort + 9;
    DelayLine delayLine(line, first.outbound());
    if (send(line, {.target = "/cancel/x", .id = "first", .key = "key-of-garden"}).status != 200) {
        throw std::runtime_error("the route is not served");
    }
    std::mutex mutex;
    std::vector<Sent> all;
    std::atomic<bool> isOver{false};
    std::vector<std::thread> clients;
    for (int number = 0; number < Clients; ++number) {
        clients.emplace_back([&, number] {
            std::mt19937 random(static_cast<unsigned>(number));
            int count = 0;
            // The clients of the machine stop when it has missed two checks of its readiness.
            while (!isOver) {
                const auto connection = Connection::open(line);
                bool isOpen = connection != nullptr;
                if (!isOpen) {
                    sleepFor(milliseconds(100));
                }
                while (isOpen && !isOver) {
                    std::deque<Sent> waiting;
                    const auto sendOne = [&](bool isFirst) {
                        const std::string id = "c" + std::to_string(number) + "-" + std::to_string(++count);
                        waiting.push_back({id, isFirst, false, Clock::now()});
                        record.line(id + (isFirst ? " sent" : " sent behind another"));
                        connection->write(
                            Call{.target = "/cancel/x?work_ms=50", .id = id, .deadlineMs = 5000, .key = "key-of-garden"}
                                .text());
                    };
                    sendOne(true);
                    const TimePoint second = Clock::now() + milliseconds(random() % 100);
                    bool isSecondSent = false;
                    while (!waiting.empty()) {
                        if (!isSecondSent && Clock::now() >= second) {
                            isSecondSent = true;
                            sendOne(false);
                        }
                        if (!connection->hasBytes() && !connection->isReadable(milliseconds(1))) {
                            if (Clock::now() > waiting.front().sentAt + milliseconds(6000)) {
                                isOpen = false;
                                break;
                            }
                            continue;
                        }
                        Message answer;
                        if (!connection->read(answer)) {
                            isOpen = false;
                            break;
                        }
                        record.line(waiting.front().id + " answered " + std::to_string(answer.status()));
                        waiting.front().isAnswered = true;
                        const std::scoped_lock lock(mutex);
                        all.push_back(waiting.front());
                        waiting.pop_front();
                        if (answer.header("Connection") == "close") {
                            isOpen = false;
                            break;
                        }
                    }
                    const std::scoped_lock lock(mutex);
                    all.insert(all.end(), waiting.begin(), waiting.end());
                }
            }
        });
    }
    sleepFor(milliseconds(1000));
    const TimePoint signalAt = Clock::now();
    if (isTroubleOn()) {
        deployment.signal(first, SIGTERM);
    }
    int misses = 0;
    while (misses < 2 && Clock::now() < signalAt + milliseconds(3000)) {
        sleepFor(milliseconds(1000));
        misses = Deployment::isReady(first) ? 0 : misses + 1;
    }
    isOver = true;
    for (std::thread &client : clients) {
        client.join();
    }
    if (isTroubleOn() && !deployment.waitForEnd(first, Grace)) {
        throw std::runtime_error("the stopped process did not end");
    }
    sleepFor(milliseconds(300));
    std::set<std::string> passedOn;
    for (const Run &run : back.runs()) {
        passedOn.insert(run.id);
    }
    int broken = 0;
    int crossed = 0;
    for (const Sent &sent : all) {
        if (sent.isAnswered) {
            continue;
        }
        if (passedOn.contains(sent.id)) {
            record.line("LOST " + sent.id + " was passed on to an upstream and has no answer");
            ++broken;
        } else {
            ++crossed;
        }
    }
    record.line(std::to_string(all.size()) + " requests, " + std::to_string(broken) + " passed on and not answered, "
                + std::to_string(crossed) + " not passed on and not answered");
    return broken > 0;
}

}

int main(int argc, char **argv)
{
    return runCase(argc, argv, isRuleBroken);
}
