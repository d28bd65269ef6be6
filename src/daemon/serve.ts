/** `jaydale serve`: runs a daemon until its planned stop is over. */
import process from 'node:process';
import {describeFailure} from '../common/errors/failure.ts';
import {type OperatorToken, type Settings} from '../common/settings/settings.ts';
import {Logging} from '../node/logging/logging.ts';
import {loadHashes} from './identity.ts';
import {wireDaemon} from './wiring.ts';

const failedExitCode = 1;

/**
 * Runs until SIGTERM or SIGINT, the platform's list or an operator has begun the planned stop and it
 * is over; resolves with the exit code. A line with the ports goes to standard output when all doors are open.
 */
export async function serve(settings: Settings, tokens: readonly OperatorToken[]): Promise<number> {
	const logging = new Logging(settings.log, {vm: settings.vm.name});
	const wired = wireDaemon(settings, tokens, logging, await loadHashes());
	if (wired.isErr()) {
		logging.logger.error('cannot start', {failure: describeFailure(wired.error)});
		return failedExitCode;
	}

	const daemon = wired.value;
	const started = await daemon.start();
	if (started.isErr()) {
		logging.logger.error('cannot start', {failure: describeFailure(started.error)});
		daemon.dispose();
		return failedExitCode;
	}

	logging.logger.info('listening', started.value);
	return new Promise(resolve => {
		const stop = () => {
			daemon.stop();
		};

		process.on('SIGTERM', stop);
		process.on('SIGINT', stop);
		daemon.onEnded(() => {
			process.off('SIGTERM', stop);
			process.off('SIGINT', stop);
			daemon.dispose();
			resolve(0);
		});
	});
}
