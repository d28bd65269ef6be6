/** What the small process entries of the stand-ins share: the ready line and the end on a signal. */
import process from 'node:process';
import {type Result} from 'neverthrow';
import {describeFailure} from '../common/errors/failure.ts';
import {type DisposableLike} from '../common/lifecycle/disposable.ts';
import {type ListenFailure} from './http-listener.ts';

/** A stand-in that can be run as a process. */
export type RunnableStandIn = DisposableLike & {
	start(): Promise<Result<number, ListenFailure>>;
	/** All its ports, where it has several. */
	readonly ports?: readonly number[];
};

/** Starts the stand-in, prints `{"listening": port}` (with `ports` of a group) when it is ready, and ends it on SIGTERM or SIGINT. */
export async function runAsProcess(standIn: RunnableStandIn): Promise<void> {
	const started = await standIn.start();
	started.match(
		port => {
			console.log(JSON.stringify({listening: port, ports: standIn.ports}));
		},
		startFailure => {
			console.error(describeFailure(startFailure));
			process.exitCode = 1;
		},
	);
	// With its sockets and timers gone nothing keeps the process alive.
	const stop = (): void => {
		standIn.dispose();
	};

	process.once('SIGTERM', stop);
	process.once('SIGINT', stop);
}
