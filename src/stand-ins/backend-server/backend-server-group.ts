/** Several backend servers in one process, each on a port of its own: many of them cost little memory. */
import {ok, type Result} from 'neverthrow';
import {Disposable} from '../../common/lifecycle/disposable.ts';
import {type ListenFailure} from '../http-listener.ts';
import {BackendServerStandIn} from './backend-server-stand-in.ts';
import {type BackendServerSettings} from './types.ts';

/** A group of one is an ordinary backend server. */
export class BackendServerGroup extends Disposable {
	private readonly _members: readonly BackendServerStandIn[];
	private readonly _ports: number[] = [];

	constructor(count: number, settings: Partial<BackendServerSettings>) {
		super();
		this._members = Array.from({length: count}, (_, index) => this._register(new BackendServerStandIn({
			...settings,
			port: (settings.port ?? 0) === 0 ? 0 : settings.port! + index,
		})));
	}

	/** The members' ports, in order. */
	get ports(): readonly number[] {
		return this._ports;
	}

	/** Starts all; the value is the first one's port. */
	async start(): Promise<Result<number, ListenFailure>> {
		for (const member of this._members) {
			const started = await member.start();
			if (started.isErr()) {
				return started;
			}

			this._ports.push(started.value);
		}

		return ok(this._ports[0] ?? 0);
	}
}
