#pragma once

namespace berylspring::limit {

class DemandEstimate;
class EntryTokens;
class Hold;
class Ledger;
class LimitService;
class NodeLease;
class OwnerBucket;
class Share;
class TokenBucket;
class ViewHistory;
class WorkspaceLimit;

}
