package scheduler

import (
	"testing"
	"time"
)

// TestTokenBucket checks that a bucket keeps the earned tokens up to its capacity.
func TestTokenBucket(t *testing.T) {
	bucket := tokenBucket{tokens: 1, refilledAt: time.Second}
	now := 3 * time.Second
	if got := bucket.secondsSinceRefill(now); got != 2 {
		t.Errorf("%v s since the refill, want 2", got)
	}
	bucket.refill(now, 4, 10)
	if bucket.tokens != 5 || bucket.refilledAt != now {
		t.Errorf("bucket %+v after a refill, want 5 tokens", bucket)
	}
	bucket.refill(now, 100, 10)
	if bucket.tokens != 10 {
		t.Errorf("%v tokens in a bucket with a capacity of 10", bucket.tokens)
	}
}
