#pragma once

#include "base/enumnames.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hemlockgauge::standins {

//! Requests within the size limits that cost a router more than usual ones of
//! the same size.
enum class OddRequest : std::uint8_t
{
  ShortFields,        //!< as many header fields as fit
  ShortFieldsByLf,    //!< the same, with lines that end with LF alone
  MediumFields,       //!< names and values of 16 bytes
  FoldedFields,       //!< each field is continued on lines of its own
  ConnectionList,     //!< many fields, and as many names in Connection
  PromptParts,        //!< as many prompt parts as fit, new ones in each request
  LongId,             //!< an id as long as the head may be
  LongTarget,         //!< the same of the target
  RawTarget,          //!< the same, of bytes that get longer when escaped
  SlashTarget,        //!< targets of slashes, for no route, several at once
  UnfinishedHead,     //!< ShortFields without the blank line
  UnfinishedBody,     //!< ShortFieldsByLf without the body that they announce
  UnfinishedChunks,   //!< a body of chunks of one byte without its end
  PipelinedRefusals,  //!< many small requests at once, for no route
  PipelinedReadAhead, //!< a request that is followed by others at once
  Silent              //!< nothing is sent
};
inline constexpr auto kOddRequestNames =
  base::MakeEnumNames<OddRequest>("short-fields",
                                  "short-fields-by-lf",
                                  "medium-fields",
                                  "folded-fields",
                                  "connection-list",
                                  "prompt-parts",
                                  "long-id",
                                  "long-target",
                                  "raw-target",
                                  "slash-target",
                                  "unfinished-head",
                                  "unfinished-body",
                                  "unfinished-chunks",
                                  "pipelined-refusals",
                                  "pipelined-read-ahead",
                                  "silent");
inline constexpr std::size_t kOddRequestCount =
  static_cast<std::size_t>(OddRequest::Silent) + 1;

//! The ids of odd requests begin with this.
inline constexpr std::string_view kOddRequestId = "odd-";

//! What odd requests have in common.
struct OddRequestSettings
{
  std::string path;
  std::string host = "h.example";
  std::string key;
  std::int64_t deadlineMs = 4000;
  std::size_t maxHeadBytes = 16384; //!< limit of the router
};

//! The bytes that a caller sends. aNumber differs between requests and makes
//! their ids.
std::string
OddRequestText(OddRequest aKind,
               const OddRequestSettings& aSettings,
               std::uint64_t aNumber);

}
