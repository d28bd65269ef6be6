/** Model of a VM's keep-alive connections to backend servers. */
import {type Instant, type Milliseconds} from '../../src/common/model/units.ts';

/** Time after which the HTTP client closes an idle connection, where backend servers state 10 s. */
const idleMilliseconds: Milliseconds = 8000;

/** Records the connections that a VM opens. A connection carries one request at a time; the latest idle one is used first. */
export class ConnectionModel {
	readonly openedAt: Instant[] = [];
	/** Times at which the idle connections of each backend server became idle, in order. */
	private readonly _idle = new Map<string, Instant[]>();

	/** Takes a connection for a request. */
	acquire(identity: string, now: Instant): void {
		const idle = (this._idle.get(identity) ?? []).filter(since => now - since < idleMilliseconds);
		this._idle.set(identity, idle);
		if (idle.pop() === undefined) {
			this.openedAt.push(now);
		}
	}

	/** Its answer was read; the connection of a cancelled request is not released but closed. */
	release(identity: string, now: Instant): void {
		this._idle.get(identity)?.push(now);
	}
}
