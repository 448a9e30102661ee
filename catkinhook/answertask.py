"""Tasks that write the answers to requests: those of the application and waitress's refusals."""

from waitress.task import ErrorTask, WSGITask

from catkinhook.errors import PROBLEM_CONTENT_TYPE, Ran, Refusal, render_problem
from catkinhook.unanswered import APPLICATION, CALLER_CLOSED, HOST_CLOSED, UNHANDLED
from catkinhook.units import KIB

# WSGI environment key of a function that returns whether too much output is unsent.
OUTPUT_BACKLOGGED = "catkinhook.is_behind"
# WSGI environment key of a function that sets the time on the monotonic clock at which an answer
# ends whose caller doesn't read it.
END_OUTPUT_AT = "catkinhook.end_output_at"
# WSGI environment key of the request parser, which keeps the original header lines.
PARSED_REQUEST = "catkinhook.parsed"
# A stream with more unsent output than this is returned from the thread that all streams share to
# the thread of its request.
MAX_BACKLOG_BYTES = 64 * KIB


class Task(WSGITask):
    """WSGI task that adds the keys of this module to the environment.

    A response that is broken off never looks complete, one to HEAD has no body, and one that is not
    complete is reported; waitress drops each ``OSError`` silently.
    """

    @property
    def has_body(self) -> bool:
        """Return whether a body may follow; that of an answer to HEAD is only announced."""
        if self.request.command == "HEAD":
            return self.content_length is not None and not self.wrote_header
        return super().has_body

    def service(self) -> None:
        """Run the application and write its answer."""
        self._error: Exception | None = None
        self._is_finished = False
        try:
            super().service()
        finally:
            if not self._is_complete() and not self.channel.is_answered:
                reason = "" if self._error is None else repr(self._error)
                self.channel.report_unanswered(self.request, self._find_why(), reason)

    def execute(self) -> None:
        """Write the response."""
        # waitress logs a warning for each body that it drops.
        self.logged_write_no_body = self.request.command == "HEAD"
        try:
            super().execute()
        except Exception as error:
            self._error = error
            raise

    def build_response_header(self) -> bytes:
        """Return the head; if the end of the connection ends the body, let it be a reset first."""
        head = super().build_response_header()
        has_end = self.chunked_response or self.content_length is not None
        if self.has_body and not has_end:
            self.channel.reset_until_whole()
        return head

    def finish(self) -> None:
        """Write the end of the answer."""
        super().finish()
        self._is_finished = self.channel.has_whole_answer = True
        self.channel.mark_answered(self.request)

    def _find_why(self) -> str:
        if not self.channel.connected:
            return HOST_CLOSED if self.channel.will_close else CALLER_CLOSED
        is_answered = self._error and not self.wrote_header and not isinstance(self._error, OSError)
        return UNHANDLED if is_answered else APPLICATION

    def _is_complete(self) -> bool:
        is_short = (
            self.content_length is not None
            and self.has_body
            and self.content_bytes_written < self.content_length
        )
        return self._is_finished and not is_short

    def get_environment(self) -> dict:
        """Return the WSGI environment."""
        environ = super().get_environment()
        environ[OUTPUT_BACKLOGGED] = self._is_backlogged
        environ[END_OUTPUT_AT] = self._end_output_at
        environ[PARSED_REQUEST] = self.request
        return environ

    def _end_output_at(self, seconds: float) -> None:
        self.channel.output_ends_at = seconds

    def _is_backlogged(self) -> bool:
        return self.channel.total_outbufs_len > MAX_BACKLOG_BYTES


class ProblemTask(ErrorTask):
    """Task for requests that waitress itself rejects, such as an oversized body."""

    def execute(self) -> None:
        """Write a problem document instead of plain text."""
        error = self.request.error
        code = error.reason.lower().replace(" ", "-")
        body = render_problem(Refusal("http", "", error.body, code, error.code, Ran.NO))
        self.status = f"{error.code} {error.reason}"
        self.response_headers.append(("Content-Type", PROBLEM_CONTENT_TYPE))
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)
