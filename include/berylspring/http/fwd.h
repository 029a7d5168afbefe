#pragma once

namespace berylspring::http {

class Client;
class Error;
class Server;
enum class ErrorCode;

}
