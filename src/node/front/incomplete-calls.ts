/** Calls whose bodies are still coming in, for a listener that stops to take calls. */
import {type ServerResponse} from 'node:http';

/**
 * Guards callers, and the end of a VM, against bodies that come in while it stops. One that is whole only after the last call
 * was taken might not end before the process does, and would be cut; one that never is would keep the VM for good.
 * Nothing of such a call has been sent, so refusing it as not run is true.
 */
export class IncompleteCalls {
	private readonly _refusals = new Map<ServerResponse, () => void>();

	/** A body is expected; `refuse` answers its call in place of taking it. */
	add(outgoing: ServerResponse, refuse: () => void): void {
		this._refusals.set(outgoing, refuse);
		outgoing.once('close', () => {
			this._refusals.delete(outgoing);
		});
	}

	/** The body is whole, or as much of it as is read before its call is taken. */
	remove(outgoing: ServerResponse): void {
		this._refusals.delete(outgoing);
	}

	refuseAll(): void {
		for (const refuse of this._refusals.values()) {
			refuse();
		}

		this._refusals.clear();
	}
}
