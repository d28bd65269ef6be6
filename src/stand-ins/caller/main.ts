/** Process entry: `node --import=tsx src/stand-ins/caller/main.ts --seeds 127.0.0.1:8080 --service NAME …`. */
import process from 'node:process';
import sade from 'sade';
import {runAsProcess} from '../process-entry.ts';
import {CallerStandIn} from './caller-stand-in.ts';

type Options = {
	readonly port: number;
	readonly address: string;
	readonly seeds: string;
	readonly name: string;
	readonly service: string;
	readonly rate: number;
	readonly orders: number;
	readonly bytes: number;
	readonly 'download-every': number;
	readonly 'download-bytes': number;
	readonly work?: number;
	readonly timeout: number;
	readonly tries: number;
	readonly connections: number;
	readonly seed: number;
};

sade('caller-stand-in', true)
	.option('--port', 'Port of the admin endpoint; 0 = any', 0)
	.option('--address', 'IP number of the admin endpoint', '127.0.0.1')
	.option('--seeds', 'VMs to ask for addresses: IP:PORT,IP:PORT', '127.0.0.1:8080')
	.option('--name', 'Name of the caller', 'caller')
	.option('--service', 'Service to call', 'service')
	.option('--rate', 'Calls a second', 100)
	.option('--orders', 'Share of calls that are orders (POST)', 0)
	.option('--bytes', 'Bytes of an answer', 256)
	.option('--download-every', 'Every so many calls one is a download; 0 = none', 0)
	.option('--download-bytes', 'Bytes of a download', 1_000_000)
	.option('--work', 'Milliseconds of work at the backend server; its own setting if not given')
	.option('--timeout', 'Milliseconds that a call may take', 5000)
	.option('--tries', 'Times that one call may be sent', 3)
	.option('--connections', 'Connections to each VM', 64)
	.option('--seed', 'Seed of the choice of VMs', 1)
	.action(async (options: Options) => {
		await runAsProcess(new CallerStandIn(
			{
				name: options.name, seeds: options.seeds.split(','), maxTries: options.tries, connectionsPerVm: options.connections,
			},
			{
				name: options.name,
				service: options.service,
				callsPerSecond: options.rate,
				orderShare: options.orders,
				answerBytes: options.bytes,
				downloadEvery: options['download-every'],
				downloadBytes: options['download-bytes'],
				workMilliseconds: options.work,
				timeoutMilliseconds: options.timeout,
			},
			options.address,
			options.port,
			options.seed,
		));
	})
	.parse(process.argv);
