#include "document/document.h"

#include <catch2/catch.hpp>

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;

document small_document() {
  return document_builder{"teranga"}
      .add_region("sn-ouest", {"thies", "mbour"})
      .add_vm("entry-1", "thies", "10.0.0.1:7100")
      .add_service("orders", milliseconds{12})
      .add_target("orders-1", "10.0.1.1:7000", "thies", 2, 16)
      .add_customer("baobab", 100, 20, 2)
      .add_key("k1", sha256("secret"))
      .add_customer("karite", 10, 2)
      .add_route("orders", "orders", {"baobab"}, milliseconds{500})
      .add_open_route("catalogue", "orders")
      .build(generation_id{7});
}

// Guards against an index that names another item, or points into content that is gone.
TEST_CASE("items are found by name, also in a copy that outlives the original") {
  document copy;
  {
    const auto original = small_document();
    copy = original;
  }
  CHECK(copy.generation() == generation_id{7});
  CHECK(copy.find_vm(vm_id{"entry-1"})->peer_address.str() == "10.0.0.1:7100");
  CHECK(copy.find_service_of(target_id{"orders-1"})->name == service_id{"orders"});
  CHECK(copy.find_target(target_id{"orders-1"})->slots == 2);
  CHECK(copy.find_key(key_id{"k1"}).owner->name == customer_id{"baobab"});
  CHECK(copy.find_region_of(data_centre_id{"mbour"})->name == "sn-ouest");
  CHECK(copy.find_customer(customer_id{"k1"}) == nullptr);
  CHECK(copy.find_key(key_id{"k2"}).key == nullptr);
}

// Guards against a route that serves a customer whom it doesn't name.
TEST_CASE("a route is allowed to its customers, an open route to all") {
  const auto document = small_document();
  const auto& closed = *document.find_route(route_id{"orders"});
  CHECK(document.is_allowed(closed, customer_id{"baobab"}));
  CHECK_FALSE(document.is_allowed(closed, customer_id{"karite"}));
  CHECK(document.is_allowed(*document.find_route(route_id{"catalogue"}), customer_id{"karite"}));
}

// Guards against host names and ports that only fail when a connection is opened.
TEST_CASE("an address is an IP number with a port") {
  CHECK(is_network_address("10.0.0.1:80"));
  CHECK(is_network_address("[::1]:80"));
  CHECK(is_network_address("127.0.0.1:0", true));
  for (const auto* text : {"", ":", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0:1",
                           "localhost:80", "::1:80", "[::1]", "[::1:80", "10.0.0.1:80x", "10.0.0.1:-1"}) {
    INFO(text);
    CHECK_FALSE(is_network_address(text));
  }
}

}  // namespace
}  // namespace bulrushlift
