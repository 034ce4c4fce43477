// Lets review/build-2.sh build this program of the third review.
#include "../standin-3/leaving_primary.cc"
