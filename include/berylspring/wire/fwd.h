#pragma once

namespace berylspring::wire {

class Error;
enum class ErrorCode;
class PeerPool;
class PeerServer;
class DatagramCodec;
struct OpenedDatagram;
struct PeerAddress;
struct PeerOptions;
struct PeerPoolCounters;
struct PeerServerCounters;

}
