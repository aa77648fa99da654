package tpcommand

import (
	"bytes"
	"io"
)

// libraryLog writes the lines that the standard library logs by itself. Of a
// response that nobody has asked for, net/http quotes up to 4 KB. A second copy of
// a response of the object store contains keys of organisations, so libraryLog
// leaves the quotation out.
type libraryLog struct{ out io.Writer }

// quotation precedes the bytes of the response.
var quotation = []byte(" starting with ")

// Write implements io.Writer. Line must be one whole line.
func (l libraryLog) Write(line []byte) (int, error) {
	text := line
	if before, _, found := bytes.Cut(line, quotation); found {
		text = append(bytes.Clone(before), '\n')
	}
	if _, err := l.out.Write(text); err != nil {
		return 0, err
	}
	return len(line), nil
}
