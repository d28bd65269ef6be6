/** Divides the memory that a VM holds for others, so that none of them can use up the room of another kind. */
import {DisposableStore} from '../../common/lifecycle/disposable.ts';
import {MemoryBudget} from './memory-budget.ts';

/** Share of the process's memory; the rest is for the heap, code and sockets. */
const memoryShare = 0.3;

const bytesPerMegabyte = 1_048_576;

/** Default bound for all kinds together, in bytes. */
export const defaultHeldBytes = 72 * bytesPerMegabyte;

/** Returns the bound for all kinds together, in bytes, for the memory that the platform allows; 0 MB = no limit is stated. */
export function heldBytesOf(memoryMegabytes: number): number {
	return memoryMegabytes === 0 ? defaultHeldBytes : memoryMegabytes * bytesPerMegabyte * memoryShare;
}

/** Share of each kind. */
const shares = {bodies: 0.5, peerMessages: 0.125, answers: 0.375} as const;

export type HeldKind = keyof typeof shares;

/** Budgets for the buffered bodies of calls, the incomplete messages of other VMs, and the buffered answers of backend servers. */
export class HeldMemory extends DisposableStore {
	readonly bodies: MemoryBudget;
	readonly peerMessages: MemoryBudget;
	readonly answers: MemoryBudget;

	/** `maxBytes` = bound for all kinds together. */
	constructor(maxBytes = defaultHeldBytes) {
		super();
		this.bodies = this.add(new MemoryBudget(maxBytes * shares.bodies));
		this.peerMessages = this.add(new MemoryBudget(maxBytes * shares.peerMessages));
		this.answers = this.add(new MemoryBudget(maxBytes * shares.answers));
	}
}
