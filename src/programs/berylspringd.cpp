#include "berylspring/node/node.h"
#include "berylspring/node/settings.h"
#include "berylspring/telemetry/log.h"
#include "platform/adapter.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/program_options.hpp>

#include <unistd.h>

namespace {

namespace asio = boost::asio;
namespace options = boost::program_options;
using namespace berylspring;

constexpr int ExitOk = 0;
constexpr int ExitUsage = 2;
constexpr int ExitInvalidSettings = 3;
constexpr int ExitStartFailed = 4;

void printPorts(const node::NodePorts &ports)
{
    std::cout << "listening caller " << ports.caller << '\n'
              << "listening endpoint " << ports.endpoint << '\n'
              << "listening operator " << ports.operatorPort << '\n'
              << "listening peer " << ports.peer << std::endl;
}

/** How often the settings file is checked for a change without SIGHUP. */
constexpr std::chrono::seconds SettingsCheckInterval(5);

/** @brief Applies the settings that can change at run time: the log level. */
class SettingsReloader
{
public:
    /** @param environment Variables of the start, which stay in force. */
    SettingsReloader(std::string path, node::SettingsEnvironment environment, node::Settings settings)
        : m_path(std::move(path))
        , m_environment(std::move(environment))
        , m_settings(std::move(settings))
        , m_modifiedAt(modifiedAt())
    {
    }

    void reloadIfChanged()
    {
        const auto time = modifiedAt();
        if (time != m_modifiedAt) {
            m_modifiedAt = time;
            reload();
        }
    }

    void reload()
    {
        const auto loaded = node::loadSettings(m_path, m_environment);
        if (!loaded) {
            telemetry::log(telemetry::Severity::Error, "settings not reloaded", {{"error", loaded.error().detail()}});
            return;
        }
        using Fields = node::SettingsFields;
        const node::Settings loadedExceptLogLevel(*loaded->with(&Fields::logLevel, m_settings->logLevel));
        const bool needsRestart = !(loadedExceptLogLevel == m_settings);
        m_settings = node::Settings(*m_settings.with(&Fields::logLevel, (*loaded)->logLevel));
        telemetry::setLowestSeverity(m_settings->logLevel);
        telemetry::log(telemetry::Severity::Info, "settings reloaded", {{"needs_restart", needsRestart}});
    }

private:
    [[nodiscard]] std::filesystem::file_time_type modifiedAt() const
    {
        std::error_code error;
        return std::filesystem::last_write_time(m_path, error);
    }

    std::string m_path;
    node::SettingsEnvironment m_environment;
    node::Settings m_settings;
    std::filesystem::file_time_type m_modifiedAt;
};

/**
 * @brief The signals that the daemon handles. Created before its threads start: two threads that create the first
 * signal sets of a context at the same time also create its signal service twice, and the end of the second one stops
 * the first from ever receiving a signal.
 */
struct Signals
{
    explicit Signals(asio::io_context &context)
        : stop(context, SIGTERM, SIGINT)
        , reload(context, SIGHUP)
    {
    }

    asio::signal_set stop;
    asio::signal_set reload;
};

asio::awaitable<void> reloadOnSignal(asio::signal_set &signals, SettingsReloader &reloader)
{
    while (true) {
        co_await signals.async_wait(asio::use_awaitable);
        reloader.reload();
    }
}

asio::awaitable<void> reloadOnChange(asio::io_context &context, SettingsReloader &reloader)
{
    asio::steady_timer timer(context);
    while (true) {
        timer.expires_after(SettingsCheckInterval);
        co_await timer.async_wait(asio::use_awaitable);
        reloader.reloadIfChanged();
    }
}

asio::awaitable<void> stopOnSignal(asio::io_context &context, asio::signal_set &signals, node::Node &node)
{
    co_await signals.async_wait(asio::use_awaitable);
    co_await node.stop();
    context.stop();
}

std::string_view nameOf(node::SettingSource source) noexcept
{
    switch (source) {
    case node::SettingSource::File:
        return "file";
    case node::SettingSource::Environment:
        return "environment";
    case node::SettingSource::Bound:
        return "bound";
    case node::SettingSource::Default:
        return "default";
    }
    return "invalid";
}

void printEffective(const node::SettingsDocument &document)
{
    for (const node::EffectiveSetting &setting : document.effective) {
        std::cout << setting.name << " = " << setting.value << " (" << nameOf(setting.source) << ")\n";
    }
    for (const std::string &name : document.unknownVariables) {
        std::cout << "unknown variable " << name << " is ignored\n";
    }
}

node::SettingsEnvironment processEnvironment()
{
    std::vector<std::string> entries;
    for (char **entry = environ; entry != nullptr && *entry != nullptr; ++entry) {
        entries.emplace_back(*entry);
    }
    return node::settingsEnvironment(entries);
}

int runNode(const std::string &path,
            const node::SettingsEnvironment &environment,
            const node::SettingsDocument &document)
{
    const node::Settings &settings = document.settings;
    telemetry::startLogging(settings->host.value(), settings->logLevel);
    for (const std::string &name : document.unknownVariables) {
        telemetry::log(telemetry::Severity::Warning, "unknown environment variable ignored", {{"variable", name}});
    }
    asio::io_context context(static_cast<int>(settings->threads));
    Signals signals(context);
    node::Node node(context.get_executor(),
                    settings,
                    settings->protocolKind == node::ProtocolKind::Store ? platform::makeProtocols(settings)
                                                                        : node::nativeProtocols());
    const auto ports = node.start();
    if (!ports) {
        telemetry::log(telemetry::Severity::Error, "start failed", {{"error", ports.error().detail()}});
        return ExitStartFailed;
    }
    printPorts(*ports);
    telemetry::log(telemetry::Severity::Info, "started", {{"data_centre", settings->dataCentre.value()}});
    asio::co_spawn(context, stopOnSignal(context, signals.stop, node), asio::detached);
    // Both run on one strand, so the reloader needs no lock.
    SettingsReloader reloader(path, environment, settings);
    const auto strand = asio::make_strand(context);
    asio::co_spawn(strand, reloadOnSignal(signals.reload, reloader), asio::detached);
    asio::co_spawn(strand, reloadOnChange(context, reloader), asio::detached);
    std::vector<std::jthread> threads;
    for (std::uint32_t i = 1; i < settings->threads; ++i) {
        threads.emplace_back([&context] { context.run(); });
    }
    context.run();
    threads.clear();
    std::cout.flush();
    // Suspended coroutines reference both the node and the context, so neither can be destroyed before the other.
    std::quick_exit(ExitOk);
}

}

int main(int argc, char **argv)
{
    options::options_description description("berylspringd [options]");
    description.add_options()("help,h", "print this text")("version", "print the version")(
        "settings,s", options::value<std::string>()->value_name("FILE"), "settings in INI format")(
        "check-settings", "check the settings, print the values in effect and where each comes from, and exit");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
    } catch (const options::error &error) {
        std::cerr << "berylspringd: " << error.what() << '\n' << description;
        return ExitUsage;
    }
    if (values.contains("help")) {
        std::cout << description << "Exit codes: 0 stopped as planned, 2 usage, 3 settings, 4 start failed\n";
        return ExitOk;
    }
    if (values.contains("version")) {
        std::cout << "berylspringd " << BERYLSPRING_VERSION << '\n';
        return ExitOk;
    }
    if (!values.contains("settings")) {
        std::cerr << "berylspringd: --settings FILE is needed\n" << description;
        return ExitUsage;
    }
    const std::string path = values["settings"].as<std::string>();
    const node::SettingsEnvironment environment = processEnvironment();
    const auto document = node::loadDocument(path, environment);
    if (!document) {
        std::cerr << "berylspringd: " << document.error().detail() << '\n';
        return ExitInvalidSettings;
    }
    if (values.contains("check-settings")) {
        printEffective(*document);
        std::cout << "settings are valid\n";
        return ExitOk;
    }
    return runNode(path, environment, *document);
}
