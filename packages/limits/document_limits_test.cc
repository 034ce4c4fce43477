#include "limits/document_limits.h"

#include <catch2/catch.hpp>
#include <string>

namespace bulrushlift {
namespace {

// Guards against a key, rate or weight that is lost or changed in the conversion of the
// document.
TEST_CASE("the controllers get what the document states") {
  const std::string text = "blk_k1_" + std::string(43, 'S');
  const auto source = document_builder{"production"}
                          .add_vm("entry-1", "thies", "10.0.0.1:7100")
                          .add_customer("baobab", 12.5, 3, 0.5)
                          .add_key("k1", sha256(text), key_state::revoked)
                          .build();
  const customer_id baobab{"baobab"};

  const auto budgets = budgets_of(source);
  CHECK(budgets.vms == std::vector{vm_id{"entry-1"}});
  CHECK(budgets.customers.at(baobab) == budget_share{millitokens{12'500}, whole_tokens(3)});
  CHECK(weights_of(source).at(baobab) == 0.5);
  CHECK(key_ring{keys_of(source)}.authenticate(text).error().kind == error_kind::key_revoked);
}

}  // namespace
}  // namespace bulrushlift
