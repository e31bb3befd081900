#include "base/error.h"
#include "document/documentdiff.h"
#include "document/documentparser.h"
#include "document/settingsparser.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace hemlockgauge;
using document::ParseDocument;

namespace {

const std::string kKey(64, 'a');

std::string
ValidDocument(const std::string& aExtra = "", const std::string& aShare = "3")
{
  return "[service]\nname = chat\npath_prefix = /chat\n" + aExtra +
         "[upstream]\npool = m\nkind = model-engine\nconcurrency = 4\n"
         "[workspace:turin]\nshare = " +
         aShare + "\nkey_sha256 = " + kKey + "\n";
}

std::string
ErrorOf(const std::string& aText)
{
  try {
    ParseDocument("doc", aText);
  } catch (const base::Error& error) {
    return error.what();
  }
  return "";
}

}

Test(document, ParsesValidDocument)
{
  const auto parsed = ParseDocument("doc", ValidDocument());
  cr_assert(parsed.workspaces.size() == 1);
  cr_assert(parsed.workspaces[0].share == 3.0);
  cr_assert(parsed.concurrency == 4);
}

Test(document, ErrorsContainFileLineKeyAndExpectedValue)
{
  const auto unknown = ErrorOf(ValidDocument("colour = red\n"));
  cr_assert(unknown == "doc:4: [service] colour: expected no such key",
            "%s",
            unknown.c_str());
  const auto number = ErrorOf(ValidDocument("deadline_ms = soon\n"));
  cr_assert(
    number.starts_with("doc:4: [service] deadline_ms: expected a whole"),
    "%s",
    number.c_str());
  const auto twice =
    ErrorOf(ValidDocument("deadline_ms=200\ndeadline_ms=300\n"));
  cr_assert(twice == "doc:5: [service] deadline_ms: expected once",
            "%s",
            twice.c_str());
  cr_assert(ErrorOf(ValidDocument("", "nan")).find("share") !=
            std::string::npos);
  cr_assert(ErrorOf("").find("[service]") != std::string::npos);
}

Test(document, RejectsKeyUsedByTwoWorkspaces)
{
  const auto text =
    ValidDocument() + "[workspace:brescia]\nkey_sha256 = " + kKey + "\n";
  cr_assert(ErrorOf(text).find("key of its own") != std::string::npos);
}

Test(document, ArbitraryTextIsParsedOrRejectedWithoutCrash)
{
  const bool held =
    rc::check("random text", [](const std::string& aText) { ErrorOf(aText); });
  cr_assert(held);
  const bool mutated = rc::check("random byte in a good document", [] {
    auto text = ValidDocument();
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    text[at] = static_cast<char>(*rc::gen::inRange(0, 256));
    ErrorOf(text);
  });
  cr_assert(mutated);
}

Test(document, DifferenceIsDescribedInText)
{
  const auto oldDocument = ParseDocument("a", ValidDocument());
  auto newDocument = oldDocument;
  cr_assert(document::DescribeDifference(oldDocument, newDocument).empty());
  newDocument.workspaces[0].maxQueued = 5;
  auto second = newDocument.workspaces[0];
  second.name = "brescia";
  newDocument.workspaces.push_back(second);
  const auto lines = document::DescribeDifference(oldDocument, newDocument);
  cr_assert(lines.size() == 3);
  cr_assert(lines[0] == "workspace turin part of the service: 100.0% -> 50.0%");
  cr_assert(lines[1] == "workspace turin max_queued: 1000 -> 5");
}

Test(document, InvalidSettingsAreRejected)
{
  const std::string good = "[router]\nid = a\navailability_zone = z\n"
                           "listen = 127.0.0.1:1\npeer_listen = 127.0.0.1:2\n"
                           "admin_listen = 127.0.0.1:5\n"
                           "[platform]\naddress = 127.0.0.1:3\n"
                           "[peers]\nseed = 127.0.0.1:4\n";
  cr_assert(document::ParseSettings("s", good).seeds.size() == 1);
  cr_assert_throw(document::ParseSettings("s", good + "seed = x\n"),
                  base::Error);
  cr_assert_throw(document::ParseSettings("s", good + "[more]\na = b\n"),
                  base::Error);
  cr_assert_throw(document::ParseSettings("s", "[router]\nid = a\n"),
                  base::Error);
}
