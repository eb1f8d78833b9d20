package ingres

import (
	"bufio"
	"bytes"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
)

// Guards against fields or bytes that are not counted, and against those of a body that are.
func TestScanner(t *testing.T) {
	for _, tt := range []struct {
		name, text    string
		bytes, fields int
		ended         bool
	}{
		{"whole head", "GET / HTTP/1.1\r\nHost: a\r\nB: c\r\n\r\n", 33, 2, true},
		{"body", "GET / HTTP/1.1\r\nHost: a\r\n\r\n\n\n\na\n\n", 27, 1, true},
		{"bare LF", "GET / HTTP/1.1\nHost: a\n\n", 24, 1, true},
		{"incomplete", "GET / HTTP/1.1\r\nHost: a\r\nB:", 27, 1, false},
		{"empty lines first", "\r\n\nGET / HTTP/1.1\r\n\r\n", 21, 0, true},
		{"CR in a line", "GET / HTTP/1.1\r\na: b\rc\r\r\n\r\r\n\r\n", 30, 2, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for _, size := range []int{1, 3, len(tt.text)} {
				var s scanner
				for text := tt.text; text != ""; text = text[min(size, len(text)):] {
					s.add([]byte(text[:min(size, len(text))]))
				}
				if s.bytes != tt.bytes || s.fields != tt.fields || s.ended != tt.ended {
					t.Errorf("in pieces of %d: %d bytes, %d fields, ended %t", size, s.bytes, s.fields, s.ended)
				}
			}
		})
	}
}

// Guards against a head that net/http accepts with more fields than the scanner has counted, and against counts that
// depend on how the bytes arrive.
func FuzzScanner(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: a\r\nB: c\r\n d\r\n\r\nbody\n\n"), uint8(3))
	f.Add([]byte("\r\nGET / HTTP/1.1\nHost: a\n\n"), uint8(1))
	f.Add([]byte("GET / HTTP/1.1\r\nA: 1\rB: 2\r\r\n\r\n"), uint8(7))
	f.Add([]byte(strings.Repeat("a: 1\r\n", 100)), uint8(200))
	// Random inputs of few kinds of bytes, so that each run of the tests covers more than the examples.
	rng := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		b := []byte("GET / HTTP/1.1\r\nHost: a\r\n")
		for range rng.IntN(60) {
			b = append(b, "aB: \r\n\n\t"[rng.IntN(8)])
		}
		f.Add(append(b, "\r\n\r\n"...), uint8(rng.IntN(256)))
	}
	f.Fuzz(func(t *testing.T, b []byte, size uint8) {
		var whole, pieces scanner
		whole.add(b)
		step := int(size)%64 + 1
		for i := 0; i < len(b); i += step {
			pieces.add(b[i:min(i+step, len(b))])
		}
		if whole != pieces {
			t.Fatalf("%+v at once, %+v in pieces of %d", whole, pieces, step)
		}
		if whole.bytes > len(b) || whole.fields > whole.bytes {
			t.Fatalf("%+v of %d bytes", whole, len(b))
		}
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(b)))
		if err != nil {
			return
		}
		// Of the fields of a request, net/http takes the host from an absolute target, and adds one to a Pragma field.
		if _, fields := sizeOf(r); fields > whole.fields+2 {
			t.Fatalf("%d fields, %d counted", fields, whole.fields)
		}
	})
}
