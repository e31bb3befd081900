#include "base/error.h"
#include "platform/internal/platformjson.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <set>

using namespace hemlockgauge;
using namespace hemlockgauge::platform;

namespace {

constexpr std::size_t kDeepNesting = 500000;
constexpr std::size_t kLongText = 1U << 20; // bytes
const std::string kShortText = R"("1e999\"")";

std::string
Nested(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

//! Returns the entry of an upstream; aFields stand last and thus override.
std::string
Host(const std::string& aName, const std::string& aFields = "")
{
  return R"({"id":")" + aName +
         R"(","role":"upstream","state":"live","availability_zone":"z",)"
         R"("address":"10.1.1.1:8080","pool":"p")" +
         (aFields.empty() ? "" : "," + aFields) + "}";
}

//! Returns a list with aEntry between two valid hosts.
std::string
HostsAround(const std::string& aEntry)
{
  return R"({"revision":7,"hosts":[)" + Host("first") + "," + aEntry + "," +
         Host("last") + "]}";
}

//! Values that are invalid in most fields; kShortText is a valid name.
const std::vector<std::string>&
InvalidValues()
{
  static const std::vector<std::string> values{
    "null",     "7",
    "-1",       "1e999",
    "-1e999",   "18446744073709551616",
    "true",     "{}",
    "[1e999]",  Nested(kDeepNesting),
    kShortText, '"' + std::string(kLongText, 'x') + '"',
  };
  return values;
}

}

//! Guards against one invalid host for which routers followed no host at all.
Test(platformjson, AnInvalidHostDoesNotAffectOthers)
{
  const std::set<std::string> freeTextFields{ "id",
                                              "availability_zone",
                                              "pool" };
  for (const char* field :
       { "id", "role", "state", "availability_zone", "address", "pool" }) {
    for (const auto& value : InvalidValues()) {
      const auto fieldText = std::string("\"") + field + "\":" + value;
      const auto list = ParseHostList(HostsAround(Host("odd", fieldText)));
      const bool isValid =
        value == kShortText && freeTextFields.contains(field);
      cr_assert(list.read.hosts.size() == (isValid ? 3 : 2),
                "%s: %.20s",
                field,
                value.c_str());
      cr_assert(list.read.hosts.front().name == "first");
      cr_assert(list.read.hosts.back().name == "last");
      cr_assert(list.rejected.size() == (isValid ? 0 : 1));
      cr_assert(list.read.revision == 7);
    }
  }
}

Test(platformjson, AHostWithAnInvalidAddressDoesNotAffectOthers)
{
  for (const char* address : { "10.1.1.1:0",
                               "10.1.1.1:65536",
                               "10.1.1.1:99999999999",
                               "10.1.1.1:-1",
                               "10.1.1.1",
                               "upstream.example:80",
                               "10.1.1.1\\u0000x:80" }) {
    const auto field = std::string(R"("address":")") + address + '"';
    const auto list = ParseHostList(HostsAround(Host("odd", field)));
    cr_assert(list.read.hosts.size() == 2, "%s", address);
    cr_assert(list.rejected.at(0).name == "odd");
  }
}

Test(platformjson, AnEntryThatIsNoHostDoesNotAffectOthers)
{
  for (const auto& value : InvalidValues()) {
    const auto list = ParseHostList(HostsAround(value));
    cr_assert(list.read.hosts.size() == 2, "%.20s", value.c_str());
    cr_assert(list.rejected.size() == 1);
  }
}

//! Guards against log lines as long as the invalid value.
Test(platformjson, TheNameAndReasonOfARejectedEntryAreShort)
{
  constexpr std::size_t kMaxLoggedBytes = 200;
  const std::string longText(kLongText, 'x');
  for (const auto& entry :
       { Host(longText), Host("odd", R"("address":")" + longText + '"') }) {
    const auto rejected = ParseHostList(HostsAround(entry)).rejected;
    cr_assert(rejected.size() == 1);
    cr_assert(rejected[0].name.size() < kMaxLoggedBytes);
    cr_assert(!rejected[0].reason.empty());
    cr_assert(rejected[0].reason.size() < kMaxLoggedBytes);
  }
}

Test(platformjson, AnInvalidDocumentDoesNotAffectOthers)
{
  for (const char* field : { "name", "revision" }) {
    const bool isRevision = std::string_view(field) == "revision";
    for (const auto& value : InvalidValues()) {
      const auto good = [](const std::string& aName) {
        return R"({"name":")" + aName + R"(","revision":3})";
      };
      auto odd = good("odd");
      odd.insert(odd.size() - 1, std::string(",\"") + field + "\":" + value);
      const auto list =
        ParseDocumentList(R"({"version":9,"documents":[)" + good("first") +
                          "," + odd + "," + good("last") + "]}");
      const bool isValid = value == (isRevision ? "7" : kShortText);
      cr_assert(list.documents.size() == (isValid ? 3 : 2),
                "%s: %.20s",
                field,
                value.c_str());
      cr_assert(list.rejected.size() == (isValid ? 0 : 1));
    }
  }
}

//! Guards against a revision so large that no later list counts as newer.
Test(platformjson, AListWithAnInvalidRevisionIsRejected)
{
  for (const char* revision : { "-1", "1e300", "1e999", "1.5", "\"7\"" }) {
    const auto start = std::string(R"({"revision":)") + revision;
    cr_assert_throw(ParseHostList(start + R"(,"hosts":[]})"), base::Error);
  }
  cr_assert_throw(ParseHostList(R"({"revision":7,"hosts":"x"})"), base::Error);
}

Test(platformjson, DamagedTextIsDecodedOrRejected)
{
  rc::check([](const std::string& aInsert, const std::string& aField) {
    auto text = HostsAround(Host("odd", "\"extra\":" + aField));
    text.insert(*rc::gen::inRange<std::size_t>(0, text.size()), aInsert);
    try {
      const auto list = ParseHostList(text);
      RC_ASSERT(list.read.hosts.size() + list.rejected.size() <= text.size());
    } catch (const base::Error&) {
      // Rejecting the whole text is allowed.
    }
  });
}
