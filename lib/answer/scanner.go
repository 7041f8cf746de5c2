package answer

import (
	"errors"

	"golang.org/x/net/http/httpguts"
)

// Scanner checks the bytes of the head of an answer as they arrive, with the heads of
// informational answers before it. The bytes after the head are ignored. The zero value
// is ready for the first byte of a status line. It is not safe for concurrent use.
//
// Unlike the parser of net/http, it accepts no other version than HTTP/1.x, no field name
// with a space and no field line that begins with white space. The parser does not find
// the fields of such lines, so that a body whose length they state ends elsewhere. It
// also takes the body of an HTTP/1.0 answer with a Transfer-Encoding as it stands; such
// an answer is not accepted either (RFC 9112, section 6.1).
type Scanner struct {
	position position
	// column is the number of bytes of the status line that were scanned.
	column int
	// minorVersion is the digit behind version.
	minorVersion byte
	// matched is the number of bytes of the present name that are those of
	// transferEncoding, or -1 if the name differs.
	matched int
	// informational is set if the present head is that of an informational answer.
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
	// inLastLine is after the carriage return of the empty line that ends a head.
	inLastLine
	afterHead
)

const (
	// version begins each status line. The minor version follows.
	version = "HTTP/1."
	// transferEncoding is the name of a field in lower case that HTTP/1.0 does not
	// have.
	transferEncoding = "transfer-encoding"
	// statusColumn is the place of the status in a status line, behind "HTTP/1.1 ".
	statusColumn = 9
)

// Causes of errors of KindMalformed.
var (
	errVersion    = errors.New("the version is not HTTP/1.x")
	errStatusLine = errors.New("no status follows the version and a space")
	errName       = errors.New("the name of a field is not allowed")
	errFolded     = errors.New("a field line begins with white space")
	errCoding     = errors.New("an HTTP/1.0 answer has a Transfer-Encoding")
	errLastLine   = errors.New("a carriage return stands alone")
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
	case s.column < len(version) && b != version[s.column]:
		s.err = errVersion
	case s.column == len(version):
		s.minorVersion = b
	case s.column == statusColumn-1 && b != ' ', s.column == statusColumn && (b < '0' || b > '9'):
		s.err = errStatusLine
	case s.column == statusColumn:
		s.informational = b == '1'
	}
	s.column++
}

// startLine handles the first byte of a line behind the status line.
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
	case b == ':' && s.minorVersion == '0' && s.matched == len(transferEncoding):
		s.err = errCoding
	case b == ':':
		s.position = inValue
	case !httpguts.IsTokenRune(rune(b)):
		s.err = errName
	case s.matched >= 0 && s.matched < len(transferEncoding) && lower(b) == transferEncoding[s.matched]:
		s.matched++
	default:
		s.matched = -1
	}
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
