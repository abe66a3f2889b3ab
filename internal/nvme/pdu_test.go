package nvme

import (
	"bytes"
	"encoding/hex"
	"testing"

	"pgregory.net/rapid"
)

// TestPDUBytes compares encoded PDUs and completions with bytes that were written by hand from the specification.
func TestPDUBytes(t *testing.T) {
	digests := framing{headerDigest: true, dataDigest: true}
	for _, c := range []struct {
		name string
		got  []byte
		want string
	}{
		{"ICReq", icPDU(pduICReq, enableHeaderDigest|enableDataDigest, 0)[:16], "00008000800000000000000300000000"},
		{"R2T", appendPDU(nil, framing{}, pduR2T, 0,
			transfer{commandID: 0x0102, ttag: 0x0304, offset: 0x1000, length: 0x2000}.header(), nil),
			"090018001800000002010403001000000020000000000000"},
		{"data with both digests", appendPDU(nil, digests, pduC2HData, flagLastPDU,
			transfer{commandID: 1, length: 4}.header(), []byte("1234"))[:8], "0707181c24000000"},
		{"completion, Namespace Not Ready with the second retry delay",
			completion{sqHead: 5, queueID: 1, commandID: 9, status: statusNamespaceNotReady.withRetryDelay(2)}.header(),
			"00000000000000000500010009000421"},
		{"completion, Transient Transport Error with DNR",
			completion{commandID: 9, status: statusTransientTransport | statusDoNotRetry}.header(),
			"00000000000000000000000009004480"},
	} {
		if got := hex.EncodeToString(c.got); got != c.want {
			t.Errorf("%s:\n got %s\nwant %s", c.name, got, c.want)
		}
	}
}

// TestCorruptPDU reads truncated PDUs, PDUs with a flipped bit and random bytes. A truncated PDU must never be accepted, and
// with both digests a PDU with a flipped bit must never be accepted as the original. Random bytes must yield either a PDU or
// an error.
func TestCorruptPDU(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := framing{
			headerDigest:  rapid.Bool().Draw(t, "header digest"),
			dataDigest:    rapid.Bool().Draw(t, "data digest"),
			dataAlignment: rapid.IntRange(0, maxDataAlignment).Draw(t, "data alignment"),
		}
		data := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "data")
		kind := rapid.SampledFrom([]pduType{pduCapsuleCmd, pduH2CData, pduC2HData}).Draw(t, "type")
		headerLen := kind.headerLen() - commonHeaderLen
		header := rapid.SliceOfN(rapid.Byte(), headerLen, headerLen).Draw(t, "header")
		valid := appendPDU(nil, f, kind, 0, header, data)
		isSame := func(p *pdu) bool {
			return bytes.Equal(p.header[commonHeaderLen:], header) && bytes.Equal(p.data, data)
		}

		p, err := readPDU(bytes.NewReader(valid), f)
		if err != nil || !isSame(p) || p.dataDigestError {
			t.Fatalf("valid PDU was read as %+v, %v", p, err)
		}
		truncated := valid[:rapid.IntRange(0, len(valid)-1).Draw(t, "length")]
		if p, err := readPDU(bytes.NewReader(truncated), f); err == nil {
			t.Fatalf("a truncated PDU was accepted: %+v", p)
		}
		if offset := rapid.IntRange(commonHeaderLen, len(valid)-1).Draw(t, "at"); f.headerDigest && f.dataDigest {
			corrupted := bytes.Clone(valid)
			corrupted[offset] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
			p, err := readPDU(bytes.NewReader(corrupted), f)
			if err == nil && !p.dataDigestError && !isSame(p) {
				t.Fatalf("the flipped bit at offset %d was not detected", offset)
			}
		}
		garbage := rapid.SliceOf(rapid.Byte()).Draw(t, "garbage")
		if p, err := readPDU(bytes.NewReader(garbage), f); (p == nil) == (err == nil) {
			t.Fatalf("random bytes: PDU %+v with error %v", p, err)
		}
	})
}
