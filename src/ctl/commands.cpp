#include "berylspring/ctl/commands.h"

#include "berylspring/core/digest.h"
#include "berylspring/ctl/table.h"
#include "ctl/operator_client.h"

#include <array>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>

#include <boost/json.hpp>
#include <boost/url.hpp>
#include <openssl/rand.h>

namespace berylspring::ctl {

namespace {

constexpr std::size_t KeyBytes = 32;
constexpr std::string_view VersionLine = "berylspringctl " BERYLSPRING_VERSION "\n";

/** @brief One invocation of the tool. */
class CommandRunner
{
public:
    CommandRunner(const Options &options, std::ostream &out, std::ostream &err)
        : m_options(options)
        , m_out(out)
        , m_err(err)
        , m_client(options)
    {
    }

    ExitCode get()
    {
        return show("GET", resourcePath(1, 2));
    }

    ExitCode list()
    {
        return show("GET", "/v1/" + argument(1));
    }

    ExitCode remove()
    {
        return write("DELETE", resourcePath(1, 2), {});
    }

    ExitCode evacuate()
    {
        return argument(1).empty() ? missingDataCentre() : write("PUT", "/v1/evacuations/" + argument(1), "{}");
    }

    ExitCode takeBack()
    {
        if (argument(1).empty()) {
            return missingDataCentre();
        }
        const ExitCode code = write("DELETE", "/v1/evacuations/" + argument(1), {});
        if (code == ExitCode::NotFound) {
            m_err << "berylspringctl: the data centre " << argument(1) << " is not evacuated\n";
        }
        return code;
    }

    ExitCode apply()
    {
        std::ifstream file(m_options.file);
        std::ostringstream text;
        text << file.rdbuf();
        boost::system::error_code error;
        const boost::json::value value = boost::json::parse(text.str(), error);
        if (!file || error) {
            m_err << "berylspringctl: " << m_options.file << ": " << (error ? error.message() : "cannot be read")
                  << '\n';
            return ExitCode::Usage;
        }
        const boost::json::array resources = value.is_array() ? value.as_array() : boost::json::array{value};
        for (const auto &resource : resources) {
            const ExitCode result = applyOne(resource);
            if (result != ExitCode::Ok) {
                return result;
            }
        }
        return ExitCode::Ok;
    }

    ExitCode key()
    {
        if (argument(1) == "create" && !argument(2).empty() && !m_options.workspace.empty()) {
            return createKey();
        }
        if (argument(1) == "withdraw" && !argument(2).empty()) {
            return write("DELETE", "/v1/keys/" + argument(2), {});
        }
        m_err << "berylspringctl: key create NAME --workspace W, or key withdraw NAME\n";
        return ExitCode::Usage;
    }

    ExitCode watch()
    {
        const std::string path = m_options.from.empty() ? "/v1/watch" : "/v1/watch?from=" + m_options.from;
        return streamResult(m_client.stream(path, m_options.waitSeconds, [this](std::string_view line) {
            m_out << line << std::endl;
            return true;
        }));
    }

    ExitCode status()
    {
        return show("GET", argument(1).empty() ? "/v1/nodes" : "/v1/changes/" + argument(1));
    }

    ExitCode explain()
    {
        if (m_options.path.empty()) {
            m_err << "berylspringctl: explain needs --path\n";
            return ExitCode::Usage;
        }
        const auto response = m_client.send("GET", explainTarget(m_options), {});
        const ExitCode code = check(response);
        if (code == ExitCode::Ok) {
            const std::string &json = (*response)->body;
            m_out << (m_options.output == OutputFormat::Json ? json + "\n" : explanationTable(json));
        }
        return code;
    }

    ExitCode completion()
    {
        m_out << completionScript();
        return ExitCode::Ok;
    }

    ExitCode version()
    {
        m_out << VersionLine;
        return ExitCode::Ok;
    }

private:
    [[nodiscard]] std::string argument(std::size_t index) const
    {
        return index < m_options.command.size() ? m_options.command[index] : std::string();
    }

    [[nodiscard]] std::string resourcePath(std::size_t type, std::size_t name) const
    {
        return "/v1/" + argument(type) + "/" + argument(name);
    }

    ExitCode missingDataCentre()
    {
        m_err << "berylspringctl: " << argument(0) << " needs the name of a data centre\n";
        return ExitCode::Usage;
    }

    void print(const std::string &json)
    {
        m_out << (m_options.output == OutputFormat::Json ? json + "\n" : toTable(json));
    }

    /** @brief Reports a failure on the error stream. @return The exit code. */
    ExitCode check(const http::Result<http::Response> &response)
    {
        if (!response) {
            m_err << "berylspringctl: " << response.error().detail() << '\n';
            return ExitCode::Unavailable;
        }
        const ExitCode code = exitCodeOf((*response)->status);
        if (code != ExitCode::Ok) {
            m_err << "berylspringctl: status " << (*response)->status << ": " << detailOf((*response)->body) << '\n';
        }
        return code;
    }

    static std::string detailOf(const std::string &body)
    {
        boost::system::error_code error;
        const boost::json::value value = boost::json::parse(body, error);
        if (error || !value.is_object() || !value.as_object().contains("detail")) {
            return body;
        }
        return boost::json::value_to<std::string>(value.at("detail"));
    }

    ExitCode show(const std::string &method, const std::string &path)
    {
        const auto response = m_client.send(method, path, {});
        const ExitCode code = check(response);
        if (code == ExitCode::Ok) {
            print((*response)->body);
        }
        return code;
    }

    ExitCode write(const std::string &method, const std::string &path, const std::string &body)
    {
        const auto response = m_client.send(method, path, body, m_options.ifMatch);
        const ExitCode code = check(response);
        if (code != ExitCode::Ok) {
            return code;
        }
        print((*response)->body);
        const boost::json::value value = boost::json::parse((*response)->body);
        const boost::json::value *change = value.as_object().if_contains("change");
        if (m_options.waitSeconds == 0 || change == nullptr) {
            return ExitCode::Ok;
        }
        return waitInForce(boost::json::serialize(*change));
    }

    ExitCode waitInForce(const std::string &change)
    {
        const auto isLast = [&](std::string_view line) {
            const boost::json::value event = boost::json::parse(line);
            return event.at("event").as_string() == "in-force" && boost::json::serialize(event.at("change")) == change;
        };
        return streamResult(
            m_client.stream("/v1/watch?from=" + change, m_options.waitSeconds, [&](std::string_view line) {
                m_out << line << std::endl;
                return !isLast(line);
            }));
    }

    ExitCode streamResult(const http::Result<unsigned> &result)
    {
        if (result) {
            return exitCodeOf(*result);
        }
        m_err << "berylspringctl: " << result.error().detail() << '\n';
        return result.error().code() == http::ErrorCode::Timeout ? ExitCode::TimedOut : ExitCode::Unavailable;
    }

    ExitCode applyOne(const boost::json::value &resource)
    {
        const bool isNamed =
            resource.is_object() && resource.as_object().contains("type") && resource.as_object().contains("name");
        if (!isNamed) {
            m_err << "berylspringctl: each resource needs the members type and name\n";
            return ExitCode::Usage;
        }
        boost::json::object body = resource.as_object();
        const auto type = boost::json::value_to<std::string>(body.at("type"));
        const auto name = boost::json::value_to<std::string>(body.at("name"));
        body.erase("type");
        return write("PUT", "/v1/" + type + "/" + name, boost::json::serialize(body));
    }

    ExitCode createKey()
    {
        std::array<unsigned char, KeyBytes> bytes{};
        if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
            m_err << "berylspringctl: no random numbers\n";
            return ExitCode::Unavailable;
        }
        const std::string key = core::Digest(bytes).toHex();
        const boost::json::object body{{"workspace", m_options.workspace}, {"digest", core::sha256(key).toHex()}};
        const ExitCode code = write("PUT", "/v1/keys/" + argument(2), boost::json::serialize(body));
        if (code == ExitCode::Ok) {
            m_out << "key " << key << '\n';
        }
        return code;
    }

    const Options &m_options;
    std::ostream &m_out;
    std::ostream &m_err;
    OperatorClient m_client;
};

}

ExitCode exitCodeOf(unsigned httpStatus) noexcept
{
    switch (httpStatus) {
    case 200:
        return ExitCode::Ok;
    case 401:
        return ExitCode::NotAuthorized;
    case 404:
        return ExitCode::NotFound;
    case 412:
        return ExitCode::Conflict;
    case 503:
        return ExitCode::Unavailable;
    default:
        return ExitCode::Refused;
    }
}

std::string explainTarget(const Options &options)
{
    const std::pair<const char *, std::string> parameters[] = {{"method", options.method},
                                                               {"path", options.path},
                                                               {"host", options.hostHeader},
                                                               {"workspace", options.workspace},
                                                               {"priority", options.priority},
                                                               {"data_centre", options.dataCentre},
                                                               {"nested", options.isNested ? "true" : ""}};
    boost::urls::url target("/v1/explain");
    for (const auto &[name, value] : parameters) {
        if (!value.empty()) {
            // params() would leave '+' as it is, which the node decodes as a space.
            const std::string encoded = boost::urls::encode(value, boost::urls::unreserved_chars);
            target.encoded_params().append({name, encoded});
        }
    }
    return target.buffer();
}

ExitCode runCommand(const Options &options, std::ostream &out, std::ostream &err)
{
    static const std::map<std::string, std::function<ExitCode(CommandRunner &)>> commands{
        {"get", &CommandRunner::get},
        {"list", &CommandRunner::list},
        {"delete", &CommandRunner::remove},
        {"apply", &CommandRunner::apply},
        {"evacuate", &CommandRunner::evacuate},
        {"return", &CommandRunner::takeBack},
        {"key", &CommandRunner::key},
        {"watch", &CommandRunner::watch},
        {"status", &CommandRunner::status},
        {"explain", &CommandRunner::explain},
        {"completion", &CommandRunner::completion},
        {"version", &CommandRunner::version},
    };
    const auto command = commands.find(options.command.front());
    if (command == commands.end()) {
        err << "berylspringctl: unknown command " << options.command.front() << '\n' << usageText();
        return ExitCode::Usage;
    }
    CommandRunner runner(options, out, err);
    return command->second(runner);
}

}
