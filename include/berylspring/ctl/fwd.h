#pragma once

namespace berylspring::ctl {

class OperatorClient;
struct Options;

}
