"""Checks the heads of servers' answers against the grammar of HTTP/1.1.

The parser below `Connection` accepts more than the grammar, such as a status of
three zeros. Bytes that are no answer must reach neither callers nor decisions,
so each line of a head is checked before it is parsed.

Sources: RFC 9112, 2.2 and 4 to 6; RFC 9110, 5.1, 5.5, 8.6 and 15. Where they
leave a choice, these are accepted: a line that ends with a bare newline, a
status line that ends after the status code, and a folded header.
"""

from __future__ import annotations

import enum
import re

import attrs

from gentianwall.core.refusals import FINAL_STATUSES

_TEXT = rb"[\t \x21-\x7e\x80-\xff]*"
_STATUS_LINE = re.compile(rb"HTTP/1\.([0-9]) ([0-9]{3})(?: " + _TEXT + rb")?")
_FIELD_NAME = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):")
_FIELD_VALUE = re.compile(_TEXT)
# More digits would be a length that no body can have.
_LENGTH = re.compile(rb"0*[0-9]{1,19}")
_BLANKS = b" \t"
_SWITCHING_PROTOCOLS = 101
_STATUSES_WITHOUT_BODY = (204, 304)


class AnswerFault(enum.Enum):
    """Why an answer is malformed; the value is the text in the log."""

    STATUS_LINE = "malformed status line"
    STATUS = "invalid status"
    PROTOCOL_SWITCH = "switch to a protocol that was not requested"
    NAME = "invalid name of a header"
    VALUE = "invalid value of a header"
    LENGTH = "invalid Content-Length"
    CODING = "Transfer-Encoding other than chunked"
    LENGTH_AND_CODING = "both Content-Length and Transfer-Encoding"
    # Found by the parser, such as an invalid size of a chunk.
    UNPARSABLE = "not parsable"


@attrs.define
class AnswerHead:
    """Checks the head of one answer, with the interim answers before it.

    Attributes:
        method: Method of the request.
        is_complete: Whether the head of the final answer has been received.
        is_body_until_close: Whether the body ends with its connection, as
            neither a length nor a coding is given.
    """

    method: bytes
    is_complete: bool = False
    is_body_until_close: bool = False
    _unchecked_bytes: bytes = b""
    _status: int | None = None
    _minor_version: int = 1
    _fields: list[tuple[bytes, bytes]] = attrs.field(factory=list)

    def receive(self, data: bytes) -> AnswerFault | None:
        """Checks the lines that end in the next bytes of the answer.

        Returns:
            The first fault. Bytes behind the head are not checked.
        """
        lines = (self._unchecked_bytes + data).split(b"\n")
        self._unchecked_bytes = lines.pop()
        for line in lines:
            fault = self._check_line(line.removesuffix(b"\r"))
            if fault is not None:
                return fault
            if self.is_complete:
                self._unchecked_bytes = b""
                return None
        return None

    def _check_line(self, line: bytes) -> AnswerFault | None:
        if self._status is None:
            return self._check_status_line(line)
        if not line:
            return self._check_end()
        if line[0] in _BLANKS:
            return self._check_folded_line(line)
        match = _FIELD_NAME.match(line)
        if match is None:
            return AnswerFault.NAME
        if not _FIELD_VALUE.fullmatch(line, match.end()):
            return AnswerFault.VALUE
        self._fields.append((match.group(1).lower(), line[match.end() :]))
        return None

    def _check_status_line(self, line: bytes) -> AnswerFault | None:
        match = _STATUS_LINE.fullmatch(line)
        if match is None:
            return AnswerFault.STATUS_LINE
        self._minor_version = int(match.group(1))
        self._status = int(match.group(2))
        is_valid = 100 <= self._status < FINAL_STATUSES.stop
        return None if is_valid else AnswerFault.STATUS

    def _check_folded_line(self, line: bytes) -> AnswerFault | None:
        if not self._fields:
            return AnswerFault.NAME
        if not _FIELD_VALUE.fullmatch(line):
            return AnswerFault.VALUE
        name, value = self._fields.pop()
        self._fields.append((name, value + line))
        return None

    def _check_end(self) -> AnswerFault | None:
        """Checks the head as a whole; after an interim one another follows."""
        if self._status == _SWITCHING_PROTOCOLS:
            return AnswerFault.PROTOCOL_SWITCH
        if self._status not in FINAL_STATUSES:
            self._status = None
            self._fields.clear()
            return None
        self.is_complete = True
        return self._check_framing()

    def _check_framing(self) -> AnswerFault | None:
        """Checks that the end of the body can be told in one way only."""
        lengths = self._values(b"content-length")
        if not all(map(_LENGTH.fullmatch, lengths)):
            return AnswerFault.LENGTH
        if len(set(map(int, lengths))) > 1:
            return AnswerFault.LENGTH
        if self.method == b"HEAD" or self._status in _STATUSES_WITHOUT_BODY:
            return None
        codings = self._values(b"transfer-encoding")
        if not codings:
            self.is_body_until_close = not lengths
            return None
        if lengths:
            return AnswerFault.LENGTH_AND_CODING
        is_chunked = [coding.lower() for coding in codings] == [b"chunked"]
        # HTTP/1.0 has no codings, so the end of such a body is not certain.
        if not is_chunked or self._minor_version == 0:
            return AnswerFault.CODING
        return None

    def _values(self, field_name: bytes) -> list[bytes]:
        """Returns the elements of all lines of a header that is a list."""
        return [
            element.strip(_BLANKS)
            for name, value in self._fields
            if name == field_name
            for element in value.split(b",")
        ]
