// Command simadapter runs schedulers on the simulator's protocol: one JSON batch of events a line on
// standard input, one JSON batch of actions a line on standard output. One process hosts many initiators.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
)

// Sizes of the buffers for input and output, in bytes.
const (
	inputBufferSize  = 1 << 20
	outputBufferSize = 1 << 16
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers each batch on in with one line on out, until in ends.
func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, inputBufferSize)
	writer := bufio.NewWriterSize(out, outputBufferSize)
	a := newAdapter()
	for number := 1; ; number++ {
		line, readErr := reader.ReadBytes('\n')
		if readErr != nil && !errors.Is(readErr, io.EOF) {
			return fmt.Errorf("reading batch %d: %w", number, readErr)
		}
		if line = bytes.TrimSpace(line); len(line) > 0 {
			reply, err := a.handle(line)
			if err != nil {
				return fmt.Errorf("batch %d: %w", number, err)
			}
			if err := writeLine(writer, reply); err != nil {
				return fmt.Errorf("writing reply %d: %w", number, err)
			}
		}
		if readErr != nil {
			return nil
		}
	}
}

// writeLine writes the line and flushes, since the simulator waits for it.
func writeLine(w *bufio.Writer, line []byte) error {
	if _, err := w.Write(line); err != nil {
		return err
	}
	if err := w.WriteByte('\n'); err != nil {
		return err
	}
	return w.Flush()
}
