// Lets review/build-2.sh build this program of the third review.
#include "../standin-3/two_holders.cc"
