// Command simadapter connects schedulers to the simulator. Each line of standard input is a JSON batch of events, and each
// line of standard output is the JSON batch of actions in reply. One process hosts many initiators.
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

// run reads batches from in until its end and writes the reply to each as one line to out.
func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, inputBufferSize)
	writer := bufio.NewWriterSize(out, outputBufferSize)
	a := newAdapter()
	for batchNumber := 1; ; batchNumber++ {
		line, readErr := reader.ReadBytes('\n')
		if readErr != nil && !errors.Is(readErr, io.EOF) {
			return fmt.Errorf("reading batch %d: %w", batchNumber, readErr)
		}
		if line = bytes.TrimSpace(line); len(line) > 0 {
			reply, err := a.handle(line)
			if err != nil {
				return fmt.Errorf("batch %d: %w", batchNumber, err)
			}
			if err := writeLine(writer, reply); err != nil {
				return fmt.Errorf("writing reply %d: %w", batchNumber, err)
			}
		}
		if readErr != nil {
			return nil
		}
	}
}

// writeLine writes a line and flushes it, because the simulator waits for each reply.
func writeLine(w *bufio.Writer, line []byte) error {
	if _, err := w.Write(line); err != nil {
		return err
	}
	if err := w.WriteByte('\n'); err != nil {
		return err
	}
	return w.Flush()
}
