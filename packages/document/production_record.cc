#include "document/production_record.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "base/digest.h"

namespace bulrushlift {
namespace {

using nlohmann::json;

/// Reads the fields of a record; remembers whether one was missing.
class record_reader {
 public:
  explicit record_reader(std::string_view value)
      : fields_(json::parse(value, nullptr, false)), valid_(fields_.is_object()) {}

  [[nodiscard]] std::string text(const char* name) {
    if (!valid_) return {};
    const auto it = fields_.find(name);
    valid_ = it != fields_.end() && it->is_string();
    return valid_ ? it->get<std::string>() : std::string{};
  }

  [[nodiscard]] generation_id generation(const char* name) {
    if (!valid_) return {};
    const auto it = fields_.find(name);
    valid_ = it != fields_.end() && it->is_number_unsigned();
    return valid_ ? generation_id{it->get<std::uint64_t>()} : generation_id{};
  }

  /// @return the record if all fields were present and the digest is that of the text.
  template <class Record>
  [[nodiscard]] result<Record> finish(Record record) const {
    if (!valid_) return make_error(error_kind::protocol_error, "the record lacks a field");
    if (record.digest != document_digest(record.text)) {
      return make_error(error_kind::protocol_error, "the digest of the record is not that of its document");
    }
    return record;
  }

 private:
  json fields_;
  bool valid_;
};

}  // namespace

std::string format_record(const production_record& record) {
  const json fields{{"generation", record.generation.value()},
                    {"promotion_id", record.promotion_id},
                    {"digest", record.digest},
                    {"text", record.text}};
  return fields.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string format_record(const trial_record& record) {
  const json fields{
      {"tried_against", record.tried_against.value()}, {"digest", record.digest}, {"text", record.text}};
  return fields.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<production_record> parse_production_record(std::string_view value) {
  record_reader reader{value};
  production_record record;
  record.generation = reader.generation("generation");
  record.promotion_id = reader.text("promotion_id");
  record.digest = reader.text("digest");
  record.text = reader.text("text");
  return reader.finish(std::move(record));
}

result<trial_record> parse_trial_record(std::string_view value) {
  record_reader reader{value};
  trial_record record;
  record.tried_against = reader.generation("tried_against");
  record.digest = reader.text("digest");
  record.text = reader.text("text");
  return reader.finish(std::move(record));
}

std::string document_digest(std::string_view text) { return to_hex(as_bytes(sha256(text))); }

std::string production_path(std::string_view environment) {
  return fmt::format("environments/{}/production", environment);
}

std::string trial_path(std::string_view environment) {
  return fmt::format("environments/{}/trial", environment);
}

std::string history_path(std::string_view environment, generation_id generation) {
  return fmt::format("environments/{}/history/{}", environment, generation.value());
}

}  // namespace bulrushlift
