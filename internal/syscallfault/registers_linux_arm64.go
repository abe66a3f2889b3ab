package syscallfault

import (
	"unsafe"

	"golang.org/x/sys/unix"
)

// Poll is the number of the poll call, which arm64 does not have: no call has this number.
const Poll = -1

// The indexes of the registers that hold the result of a call and its third argument.
const (
	resultRegister    = 0
	byteCountRegister = 2
)

// registerSetNumber is NT_ARM_SYSTEM_CALL, the register set that holds the number of a call.
const registerSetNumber = 0x404

// noSyscall as the number of a call: the kernel makes none.
const noSyscall = int32(-1)

// changeCall makes a call that is about to be made fail or transfer fewer bytes, as the fault says.
func changeCall(thread int, fault Fault) {
	switch {
	case fault.Errno != 0:
		setNumber(thread, noSyscall)
	case fault.MaxBytes > 0:
		var registers unix.PtraceRegs
		if unix.PtraceGetRegs(thread, &registers) != nil {
			return
		}
		registers.Regs[byteCountRegister] = min(registers.Regs[byteCountRegister], fault.MaxBytes)
		_ = unix.PtraceSetRegs(thread, &registers)
	}
}

// setNumber sets the number of a call that is about to be made.
func setNumber(thread int, number int32) {
	vector := unix.Iovec{Base: (*byte)(unsafe.Pointer(&number)), Len: uint64(unsafe.Sizeof(number))}
	_, _, _ = unix.Syscall6(unix.SYS_PTRACE, unix.PTRACE_SETREGSET, uintptr(thread), registerSetNumber,
		uintptr(unsafe.Pointer(&vector)), 0, 0)
}

// setResult sets the result of a call that ends.
func setResult(thread int, result uint64) {
	var registers unix.PtraceRegs
	if unix.PtraceGetRegs(thread, &registers) == nil {
		registers.Regs[resultRegister] = result
		_ = unix.PtraceSetRegs(thread, &registers)
	}
}
