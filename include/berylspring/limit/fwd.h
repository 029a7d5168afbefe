#pragma once

namespace berylspring::limit {

class DemandEstimate;
class EntryTokens;
class Ledger;
class LedgerEntry;
class LimitService;
class NodeLease;
class OwnerBucket;
class Share;
class TokenBucket;
class ViewHistory;
class WorkspaceLimit;

}
