#pragma once

namespace berylspring::idempotency {

class Claim;
class ClaimTable;
class HomeOrder;
class HomeSelection;
class IdempotencyService;
class SendTime;
struct ClaimOwner;
struct IdempotencyCounters;
struct IdempotencyHooks;
struct IdempotencySettings;

}
