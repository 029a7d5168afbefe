#pragma once

namespace berylspring::membership {

class Error;
enum class ErrorCode;
class ContactBook;
class LocalHealth;
class Member;
class MemberSnapshot;
class MemberTable;
class MembershipService;
class PendingPings;
class ProbeSchedule;
class SelfRecord;
class SnapshotCache;
class SwimProtocol;
class UpdateQueue;
struct MembershipHooks;
struct MembershipSettings;

}
