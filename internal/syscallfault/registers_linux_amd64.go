package syscallfault

import "golang.org/x/sys/unix"

// Poll is the number of the poll call.
const Poll = unix.SYS_POLL

// noSyscall as the number of a call: the kernel makes none.
const noSyscall = ^uint64(0)

// changeCall makes a call that is about to be made fail or transfer fewer bytes, as the fault says.
func changeCall(thread int, fault Fault) {
	var registers unix.PtraceRegs
	if unix.PtraceGetRegs(thread, &registers) != nil {
		return
	}
	switch {
	case fault.Errno != 0:
		registers.Orig_rax = noSyscall
	case fault.MaxBytes > 0:
		registers.Rdx = min(registers.Rdx, fault.MaxBytes)
	default:
		return
	}
	_ = unix.PtraceSetRegs(thread, &registers)
}

// setResult sets the result of a call that ends.
func setResult(thread int, result uint64) {
	var registers unix.PtraceRegs
	if unix.PtraceGetRegs(thread, &registers) == nil {
		registers.Rax = result
		_ = unix.PtraceSetRegs(thread, &registers)
	}
}
