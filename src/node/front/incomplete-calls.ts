/** Tracks calls whose bodies are still being received, so that a stopping listener can refuse them. */
import {type ServerResponse} from 'node:http';

/**
 * Handles request bodies that arrive while a VM stops. A call whose body completes after the VM has stopped accepting calls
 * might not complete before the process exits, and would be cut; a body that never completes would delay the stop forever.
 * Nothing of such a call has been sent to a backend server, so the refusal may state that it has not run.
 */
export class IncompleteCalls {
	private readonly _refusals = new Map<ServerResponse, () => void>();

	/** Adds a call whose body is expected; `refuse` sends the refusal. */
	add(outgoing: ServerResponse, refuse: () => void): void {
		this._refusals.set(outgoing, refuse);
		outgoing.once('close', () => {
			this._refusals.delete(outgoing);
		});
	}

	/** Removes a call once its body, or as much of it as is buffered before placement, has been received. */
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
