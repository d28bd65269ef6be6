/** Runs several backend servers in one process, each on a port of its own, which saves memory. */
import {ok, type Result} from 'neverthrow';
import {Disposable} from '../../common/lifecycle/disposable.ts';
import {type ListenFailure} from '../http-listener.ts';
import {BackendServerStandIn} from './backend-server-stand-in.ts';
import {type BackendServerSettings} from './types.ts';

/** Owns its backend servers. With a port other than 0 in the settings, they listen on consecutive ports from there. */
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

	/** The ports of all backend servers, in order. */
	get ports(): readonly number[] {
		return this._ports;
	}

	/** Starts all backend servers, and resolves with the port of the first one. */
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
