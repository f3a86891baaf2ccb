// Reads the JSON object of a POST /control and applies it whole or not at all.
//
// Usage:
//   upstream_faults next = current;
//   control_form form;
//   form.Flag("draining", next.mDraining);
//   form.Number("lose_answers", kMaxLost, next.mLoseAnswers);
//   form.Time("load_lag_ms", kMaxLag, next.mLoadLag);
//   std::optional<std::string> fault = form.Read(body);
//   if (!fault) current = next;
//
// An unknown key, a value of the wrong type, a number out of range and text
// that is no JSON object are faults. The targets may be partly written when
// there is a fault.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace laburnumdyke {

class control_form
{
public:
  void Flag(std::string_view aName, bool& aTarget);
  void Number(std::string_view aName,
              std::uint64_t aMaximum,
              std::uint64_t& aTarget);
  void Time(std::string_view aName,
            std::chrono::milliseconds aMaximum,
            std::chrono::milliseconds& aTarget);

  // What is wrong with the body, or nothing.
  std::optional<std::string> Read(std::string_view aBody) const;

private:
  using target =
    std::variant<bool*, std::uint64_t*, std::chrono::milliseconds*>;

  struct field
  {
    std::string_view mName;
    std::uint64_t mMaximum;
    target mTarget;
  };

  std::vector<field> mFields;
};

} // namespace laburnumdyke
