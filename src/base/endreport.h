#pragma once

namespace hemlockgauge::base {

//! Makes the process write a log line before it ends by an exception that
//! nothing catches or by a signal that reports a fault of the program, such as
//! SIGSEGV. The process then ends as it would have done without the line.
void
ReportFatalEnds();

}
