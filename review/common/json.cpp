// Boost.JSON, compiled with each case.
#include <boost/json/src.hpp>
