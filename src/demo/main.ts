/** `npm run demo -- --seconds N`: runs callers, daemons, backend servers and the platform's stand-in as processes on this machine. */
import process from 'node:process';
import sade from 'sade';
import {describeFailure} from '../common/errors/failure.ts';
import {DemoFleet} from './demo-fleet.ts';
import {DemoRun} from './demo-run.ts';

type Options = {readonly seconds: number; readonly 'kill-platform'?: boolean};

function print(line: string): void {
	console.log(line);
}

async function runDemo(fleet: DemoFleet, options: Options): Promise<boolean> {
	print('starting the platform\'s stand-in, 3 daemons and the backend servers');
	const setUp = await fleet.setUp();
	if (setUp.isErr()) {
		print(describeFailure(setUp.error));
		return false;
	}

	print(`configuration version ${setUp.value} is in force on 3 VMs; ${fleet.backendServers.length} backend servers of ${fleet.services.length} services`);
	const started = await fleet.startCallers();
	if (started.isErr()) {
		print(describeFailure(started.error));
		return false;
	}

	return new DemoRun(fleet, {seconds: options.seconds, killsPlatform: options['kill-platform'] === true, print}).run();
}

async function main(options: Options): Promise<void> {
	if (!Number.isFinite(options.seconds) || options.seconds < 1 || options.seconds > 3600) {
		console.error(`--seconds: found ${options.seconds}; allowed: a number from 1 to 3600`);
		process.exitCode = 2;
		return;
	}

	const fleet = new DemoFleet();
	const stop = (): void => {
		fleet.dispose();
		process.exitCode = 130;
	};

	process.once('SIGINT', stop);
	process.once('SIGTERM', stop);
	const isClean = await runDemo(fleet, options);
	fleet.dispose();
	process.exitCode = isClean ? 0 : 1;
	process.off('SIGINT', stop);
	process.off('SIGTERM', stop);
}

sade('demo', true)
	.option('--seconds', 'Duration of the calls in seconds', 10)
	.option('--kill-platform', 'Kill the platform\'s service during the run')
	.example('--seconds 30 --kill-platform')
	.action(main)
	.parse(process.argv);
