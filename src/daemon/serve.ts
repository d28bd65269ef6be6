/** `jaydale serve`: runs a daemon until its planned stop is over. */
import process from 'node:process';
import {describeFailure} from '../common/errors/failure.ts';
import {Disposable, toDisposable} from '../common/lifecycle/disposable.ts';
import {Emitter} from '../common/lifecycle/emitter.ts';
import {type Milliseconds} from '../common/model/units.ts';
import {type OperatorToken, type Settings} from '../common/settings/settings.ts';
import {Logging} from '../node/logging/logging.ts';
import {loadHashes} from './identity.ts';
import {wireDaemon} from './wiring.ts';

const failedExitCode = 1;

/** After a stop signal, time that a start in progress may take before it is given up; it lasts longer only if a port is in use. */
const maxStartMilliseconds: Milliseconds = 1000;

/** Sent by a supervisor, from the keyboard, and when the terminal closes in which the process was started. */
const stopSignals = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;

/**
 * Runs a daemon until its planned stop is over, and resolves with the exit code. The stop is started by SIGTERM, SIGINT or SIGHUP,
 * by the platform's list of VMs, or by an operator. When all listeners are open, one line on standard output gives the ports.
 */
export async function serve(settings: Settings, tokens: readonly OperatorToken[]): Promise<number> {
	const stopSignalListener = new StopSignalListener();
	const exitCode = await run(settings, tokens, stopSignalListener);
	stopSignalListener.dispose();
	return exitCode;
}

/**
 * Records stop signals from its construction on. A signal without a handler ends the process at once, together with the
 * calls that its listeners have accepted; this guards calls against a signal that arrives while the listeners are being opened.
 */
class StopSignalListener extends Disposable {
	private readonly _onSignal = this._register(new Emitter<void>());
	private _isReceived = false;

	constructor() {
		super();
		const receive = () => {
			this._isReceived = true;
			this._onSignal.fire();
		};

		for (const signal of stopSignals) {
			process.on(signal, receive);
			this._register(toDisposable(() => {
				process.off(signal, receive);
			}));
		}
	}

	/** Calls the listener at each stop signal, and at once if one was already received. */
	subscribe(listener: () => void): void {
		this._register(this._onSignal.event(listener));
		if (this._isReceived) {
			listener();
		}
	}
}

async function run(settings: Settings, tokens: readonly OperatorToken[], stopSignalListener: StopSignalListener): Promise<number> {
	const logging = new Logging(settings.log, {vm: settings.vm.name});
	const wired = wireDaemon(settings, tokens, logging, await loadHashes());
	if (wired.isErr()) {
		logging.logger.error('cannot start', {failure: describeFailure(wired.error)});
		return failedExitCode;
	}

	const daemon = wired.value;
	daemon.handleUnexpectedErrors();
	const unstarted = new Promise<'unstarted'>(resolve => {
		stopSignalListener.subscribe(() => {
			setTimeout(resolve, maxStartMilliseconds, 'unstarted').unref();
		});
	});
	const started = await Promise.race([daemon.start(), unstarted]);
	if (started === 'unstarted') {
		daemon.dispose();
		return 0;
	}

	if (started.isErr()) {
		logging.logger.error('cannot start', {failure: describeFailure(started.error)});
		daemon.dispose();
		return failedExitCode;
	}

	logging.logger.info('listening', started.value);
	return new Promise(resolve => {
		daemon.onEnded(() => {
			daemon.dispose();
			resolve(0);
		});
		stopSignalListener.subscribe(() => {
			daemon.stop();
		});
	});
}
