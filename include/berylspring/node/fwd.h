#pragma once

namespace berylspring::node {

class Error;
class Node;
class Settings;
class InFlightTable;

}
