/** Entry point: `node --import=tsx src/stand-ins/backend-server/main.ts --port N`. */
import process from 'node:process';
import sade from 'sade';
import {runAsProcess} from '../process-entry.ts';
import {BackendServerGroup} from './backend-server-group.ts';
import {defaultBackendServerSettings as defaults} from './types.ts';

type Options = {
	readonly port: number;
	readonly count: number;
	readonly address: string;
	readonly slots: number;
	readonly connections: number;
	readonly queue: number;
	readonly work: number;
	readonly bytes: number;
	readonly record: boolean;
};

sade('backend-server-stand-in', true)
	.option('--port', 'Port to listen on; 0 selects a free port', 0)
	.option('--count', 'Number of backend servers in this process, each on a port of its own', 1)
	.option('--address', 'IP address to listen on', defaults.address)
	.option('--slots', 'Calls that run at once', defaults.slots)
	.option('--connections', 'Limit of open connections', defaults.connectionLimit)
	.option('--queue', 'Calls that may wait for a slot', defaults.queueLimit)
	.option('--work', 'Work of a call in milliseconds', defaults.workMilliseconds)
	.option('--bytes', 'Length of a response body in bytes', defaults.answerBytes)
	.option('--record', 'Record every call (--no-record for benchmarks)', true)
	.action(async (options: Options) => {
		await runAsProcess(new BackendServerGroup(options.count, {
			port: options.port,
			address: options.address,
			slots: options.slots,
			connectionLimit: options.connections,
			queueLimit: options.queue,
			workMilliseconds: options.work,
			answerBytes: options.bytes,
			recordsCalls: options.record,
			crash: 'exit',
		}));
	})
	.parse(process.argv);
