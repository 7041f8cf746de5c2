package answer

import (
	"errors"

	"golang.org/x/net/http/httpguts"
)

// Scanner checks the bytes of the head of an answer as they arrive, with the heads of
// informational answers before it. The bytes after the head are ignored. The zero value
// is ready for the first byte of a status line. It is not safe for concurrent use.
//
// It rejects what the parser of net/http accepts and HTTP does not allow:
//   - versions other than HTTP/1.x, and other than one space before the status;
//   - field names with a space, and field lines that begin with white space. The parser
//     does not find Content-Length in such a line, and the body then ends elsewhere;
//   - HTTP/1.0 with a Transfer-Encoding (RFC 9112, section 6.1). The parser drops the
//     field and takes the encoded bytes for the body.
type Scanner struct {
	position position
	// column is the number of bytes of the status line that were scanned.
	column int
	// minorVersion is the digit after "HTTP/1.".
	minorVersion byte
	// matched is the length of the present name if transferEncoding begins with it,
	// and otherwise -1.
	matched int
	// informational is set if the present head belongs to an informational answer.
	informational bool
	err           error
}

// position is the place of the next byte in a head.
type position int

const (
	inStatusLine position = iota
	atLineStart
	inName
	inValue
	// inLastLine follows the carriage return of the empty line that ends a head.
	inLastLine
	afterHead
)

const (
	// versionPrefix begins each status line. The minor version follows.
	versionPrefix = "HTTP/1."
	// statusColumn is the column of the status in a status line, after "HTTP/1.1 ".
	statusColumn = 9
	// transferEncoding is the lower-case name of a field that HTTP/1.0 does not define.
	transferEncoding = "transfer-encoding"
)

// Causes of errors of KindMalformed.
var (
	errVersion    = errors.New("the version is not HTTP/1.x")
	errStatusLine = errors.New("no status follows the version and a space")
	errName       = errors.New("the name of a field is not allowed")
	errFolded     = errors.New("a field line begins with white space")
	errCoding     = errors.New("an HTTP/1.0 answer has a Transfer-Encoding")
	errLastLine   = errors.New("a line begins with a carriage return that no line feed follows")
)

// Scan checks the next bytes.
func (s *Scanner) Scan(p []byte) {
	for _, b := range p {
		if s.position == afterHead || s.err != nil {
			return
		}
		s.scanByte(b)
	}
}

// Err returns an error of KindMalformed if the head is malformed as far as it was scanned.
func (s *Scanner) Err() error {
	if s.err == nil {
		return nil
	}
	return &Error{Op: "scan head", Kind: KindMalformed, Err: s.err}
}

func (s *Scanner) scanByte(b byte) {
	switch s.position {
	case inStatusLine:
		s.scanStatusLine(b)
	case atLineStart:
		s.startLine(b)
	case inName:
		s.scanName(b)
	case inValue:
		if b == '\n' {
			s.position = atLineStart
		}
	case inLastLine:
		if b != '\n' {
			s.err = errLastLine
			return
		}
		s.endHead()
	}
}

func (s *Scanner) scanStatusLine(b byte) {
	switch {
	case b == '\n':
		s.position = atLineStart
	case s.column < len(versionPrefix) && b != versionPrefix[s.column]:
		s.err = errVersion
	case s.column == len(versionPrefix):
		s.minorVersion = b
	case s.column == statusColumn-1 && b != ' ', s.column == statusColumn && (b < '0' || b > '9'):
		s.err = errStatusLine
	case s.column == statusColumn:
		s.informational = b == '1'
	}
	s.column++
}

// startLine handles the first byte of a line after the status line.
func (s *Scanner) startLine(b byte) {
	switch b {
	case ' ', '\t':
		s.err = errFolded
	case ':':
		s.err = errName
	case '\r':
		s.position = inLastLine
	case '\n':
		s.endHead()
	default:
		s.position, s.matched = inName, 0
		s.scanName(b)
	}
}

func (s *Scanner) scanName(b byte) {
	switch {
	case b != ':' && !httpguts.IsTokenRune(rune(b)):
		s.err = errName
	case b != ':':
		s.matchName(b)
	case s.minorVersion == '0' && s.matched == len(transferEncoding):
		s.err = errCoding
	default:
		s.position = inValue
	}
}

// matchName compares the next byte of a name with that of transferEncoding.
func (s *Scanner) matchName(b byte) {
	if s.matched < 0 || s.matched == len(transferEncoding) || lower(b) != transferEncoding[s.matched] {
		s.matched = -1
		return
	}
	s.matched++
}

// lower returns the lower case of an ASCII letter, and other bytes unchanged.
func lower(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}

// endHead ends the scan, unless the head is that of an informational answer.
func (s *Scanner) endHead() {
	if s.informational {
		*s = Scanner{}
		return
	}
	s.position = afterHead
}
