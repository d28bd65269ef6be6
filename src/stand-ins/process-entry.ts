/** Shared by the stand-ins' entry points: prints the ready line, and stops on a signal. */
import process from 'node:process';
import {type Result} from 'neverthrow';
import {describeFailure} from '../common/errors/failure.ts';
import {type DisposableLike} from '../common/lifecycle/disposable.ts';
import {type ListenFailure} from './http-listener.ts';

/** A stand-in that can be run as a process. */
export type RunnableStandIn = DisposableLike & {
	start(): Promise<Result<number, ListenFailure>>;
	/** All ports of a stand-in with several ones. */
	readonly ports?: readonly number[];
};

/** Starts the stand-in, prints `{"listening": port}` (with `ports` for a group) once it listens, and disposes of it on SIGTERM or SIGINT. */
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
	// Without the stand-in's sockets and timers, nothing keeps the process alive.
	const stop = (): void => {
		standIn.dispose();
	};

	process.once('SIGTERM', stop);
	process.once('SIGINT', stop);
}
