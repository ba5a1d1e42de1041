#ifndef GYPSUMFALL_BASE_INTERNAL_BIT_SET_H_
#define GYPSUMFALL_BASE_INTERNAL_BIT_SET_H_

#include <boost/dynamic_bitset.hpp>

namespace gypsumfall {

/// A set of small numbers. In messages and rows it is a text of hexadecimal
/// digits, each of which stands for four bits, the lowest bit first; zeros at
/// the end are omitted.
using BitSet = boost::dynamic_bitset<>;

}  // namespace gypsumfall

#endif  // GYPSUMFALL_BASE_INTERNAL_BIT_SET_H_
