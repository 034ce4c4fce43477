#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <ostream>

#include "base/digest.h"
#include "cli/command.h"
#include "cli/environment_session.h"
#include "document/document_editor.h"

namespace bulrushlift {
namespace {

using nlohmann::json;
using table_rows = std::vector<std::vector<std::string>>;

/// Reads the document in force, edits its text and promotes the result.
/// @param edit called as `result<void>(document_editor&)`.
template <class Edit>
result<production_record> edit_and_promote(command_context& context, Edit edit) {
  const auto session = open_session(context);
  if (!session) return tl::unexpected{session.error()};
  const auto base = read_document_in_force(*session);
  if (!base) return tl::unexpected{base.error()};
  document_editor editor{base->record.text};
  if (const auto edited = edit(editor); !edited) return tl::unexpected{edited.error()};
  return promote_edit(*session, *base, editor.text());
}

/// Prints the generation that a promotion put into force.
command_result report_generation(command_context& context, const result<production_record>& promoted) {
  if (!promoted) return tl::unexpected{promoted.error()};
  context.out << fmt::format("generation {} is in force\n", promoted->generation.value());
  return {};
}

/// Reads the document in force and prints rows made from it, as a table or as JSON objects.
/// @param headings the field names in JSON; in capitals, the headings of the table.
/// @param make_rows called as `table_rows(const document&)`.
template <class MakeRows>
command_result write_list(command_context& context, std::vector<std::string> headings, MakeRows make_rows) {
  const auto session = open_session(context);
  if (!session) return tl::unexpected{session.error()};
  const auto base = read_document_in_force(*session);
  if (!base) return tl::unexpected{base.error()};
  auto rows = make_rows(base->content);
  if (context.options.json) {
    json out = json::array();
    for (const auto& row : rows) {
      json object = json::object();
      for (std::size_t i = 0; i < row.size(); ++i) object[headings[i]] = row[i];
      out.push_back(std::move(object));
    }
    context.out << out.dump() << '\n';
    return {};
  }
  for (auto& it : headings) {
    for (auto& c : it) c = static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
  }
  rows.insert(rows.begin(), std::move(headings));
  write_table(context.out, rows);
  return {};
}

command_result run_customer_list(command_context& context) {
  return write_list(
      context, {"customer", "rate_per_second", "burst", "weight", "active_keys"}, [](const document& value) {
        table_rows rows;
        for (const auto& it : value.customers()) {
          std::size_t active = 0;
          for (const auto& key : it.keys) active += key.state == key_state::active ? 1 : 0;
          rows.push_back({it.name.str(), fmt::format("{}", it.rate_per_second), fmt::format("{}", it.burst),
                          fmt::format("{}", it.weight), std::to_string(active)});
        }
        return rows;
      });
}

command_result run_customer_add(command_context& context) {
  const auto& options = context.options;
  if (!options.rate || !options.burst) {
    return make_error(error_kind::bad_request, "the options --rate and --burst are required");
  }
  const customer added{
      customer_id{context.operands[0]}, *options.rate, *options.burst, options.weight.value_or(1), {}};
  std::vector<route_id> routes;
  for (const auto& it : options.routes) routes.emplace_back(it);
  return report_generation(context, edit_and_promote(context, [&](document_editor& editor) {
                             return editor.add_customer(added, routes);
                           }));
}

command_result run_customer_set_rate(command_context& context) {
  const auto& options = context.options;
  if (!options.rate) return make_error(error_kind::bad_request, "the option --rate is required");
  return report_generation(context, edit_and_promote(context, [&](document_editor& editor) {
                             return editor.set_rate(customer_id{context.operands[0]}, *options.rate,
                                                    options.burst, options.weight);
                           }));
}

command_result run_key_create(command_context& context) {
  const auto id = context.options.id.empty() ? "k" + to_hex(random_bytes(5)) : context.options.id;
  const auto key = fmt::format("blk_{}_{}", id, to_base64url(random_bytes(32)));
  const customer_key stored_key{key_id{id}, sha256(key), key_state::active};
  const auto promoted = edit_and_promote(context, [&](document_editor& editor) {
    return editor.add_key(customer_id{context.operands[0]}, stored_key);
  });
  if (!promoted) return tl::unexpected{promoted.error()};
  // The key is the whole output, so that a script can capture it with `$(bulrushlift key create ...)`.
  context.out << key << '\n';
  return {};
}

command_result run_key_revoke(command_context& context) {
  return report_generation(context, edit_and_promote(context, [&](document_editor& editor) {
                             return editor.revoke_key(key_id{context.operands[0]});
                           }));
}

command_result run_key_list(command_context& context) {
  return write_list(context, {"key", "customer", "state", "digest"}, [&](const document& value) {
    table_rows rows;
    for (const auto& owner : value.customers()) {
      if (!context.operands.empty() && owner.name.str() != context.operands[0]) continue;
      for (const auto& it : owner.keys) {
        rows.push_back({it.id.str(), owner.name.str(), it.state == key_state::active ? "active" : "revoked",
                        to_hex(as_bytes(it.digest))});
      }
    }
    return rows;
  });
}

command_result run_route_list(command_context& context) {
  return write_list(context, {"route", "service", "open", "read_replicas", "max_age_ms", "customers"},
                    [](const document& value) {
                      table_rows rows;
                      for (const auto& it : value.routes()) {
                        std::string names;
                        for (const auto& name : it.customers)
                          names += (names.empty() ? "" : ",") + name.str();
                        rows.push_back({it.name.str(), it.service.str(), it.open ? "yes" : "no",
                                        it.read_replicas ? "yes" : "no",
                                        it.max_age ? fmt::format("{}", it.max_age->count()) : "-",
                                        names.empty() ? "-" : names});
                      }
                      return rows;
                    });
}

}  // namespace

std::vector<command> customer_commands() {
  return {
      {"customer list", "customer list [--json]", "List the customers with their rates",
       "customer list --platform 127.0.0.1:7000 --environment teranga", 0, 0, run_customer_list},
      {"customer add", "customer add NAME --rate R --burst B [--weight W] [--route ROUTE]...",
       "Add a customer to the document in force, and to routes",
       "customer add fouta-miel --rate 20 --burst 5 --route orders --platform 127.0.0.1:7000 --environment "
       "teranga",
       1, 1, run_customer_add},
      {"customer set-rate", "customer set-rate NAME --rate R [--burst B] [--weight W]",
       "Change the agreed share of a customer",
       "customer set-rate kora-stock --rate 300 --burst 60 --platform 127.0.0.1:7000 --environment teranga",
       1, 1, run_customer_set_rate},
      {"key create", "key create CUSTOMER [--id ID]",
       "Create a key and print it once; only its digest is kept",
       "key create kora-stock --platform 127.0.0.1:7000 --environment teranga", 1, 1, run_key_create},
      {"key revoke", "key revoke ID", "Revoke a key; it stops working within seconds",
       "key revoke kora-stock-1 --platform 127.0.0.1:7000 --environment teranga", 1, 1, run_key_revoke},
      {"key list", "key list [CUSTOMER] [--json]", "List the keys with their states",
       "key list kora-stock --platform 127.0.0.1:7000 --environment teranga", 0, 1, run_key_list},
      {"route list", "route list [--json]", "List the routes",
       "route list --platform 127.0.0.1:7000 --environment teranga", 0, 0, run_route_list},
  };
}

}  // namespace bulrushlift
