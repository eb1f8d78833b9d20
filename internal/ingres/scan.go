package ingres

// scanner counts the bytes and the lines of one head. Like net/http it ends lines with LF, and takes one CR before it
// as a part of the line end.
type scanner struct {
	bytes  int  // up to the end of the head
	fields int  // line ends after the request line
	ended  bool // the empty line after the fields has been read

	inLine  bool // the current line has a byte that is not a part of its line end
	sawCR   bool // the last byte is a CR, which may be a part of the line end
	started bool // a line that is not empty has been read
}

// add counts the next bytes of a head; those after its end are ignored.
func (s *scanner) add(b []byte) {
	for _, v := range b {
		if s.ended {
			return
		}
		s.bytes++
		s.next(v)
	}
}

func (s *scanner) next(v byte) {
	switch {
	case v == '\n' && s.inLine:
		if s.started {
			s.fields++
		}
		s.started = true
		s.inLine, s.sawCR = false, false
	case v == '\n':
		s.ended = s.started
		s.sawCR = false
	case v == '\r' && !s.sawCR:
		s.sawCR = true
	default:
		s.inLine, s.sawCR = true, v == '\r'
	}
}
