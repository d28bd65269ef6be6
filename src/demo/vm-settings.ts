/** Writes the settings files of the demo's daemons: those of the examples, with ports of this machine. */
import {readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {parse, stringify} from 'smol-toml';
import {packageRoot} from '../stand-ins/program-files.ts';

/** Name, data centre and ports of one daemon. */
export type VmPlan = {
	readonly name: string;
	readonly dataCentre: string;
	readonly callPort: number;
	readonly operatorPort: number;
	readonly peerPort: number;
};

/** Settings that all daemons of a demo or benchmark share. */
export type VmSettingsOptions = {
	readonly platformUrl: string;
	readonly tokensFile: string;
	readonly keepForMilliseconds: number;
	readonly logLevel: string;
};

/** The write token of the examples. */
export const exampleToken = 'example-only-write-token-baltmor';

/** Path of the tokens file of the examples. */
export const exampleTokensFile = join(packageRoot, 'examples', 'baltmor', 'tokens.toml');

/** Writes the settings file of a VM into the folder, with the other plans as its seeds. Returns the file's path. */
export function writeVmSettings(folder: string, plan: VmPlan, plans: readonly VmPlan[], options: VmSettingsOptions): string {
	const example = parse(readFileSync(join(packageRoot, 'examples', 'baltmor', 'vm-gdansk-1.toml'), 'utf8'));
	const address = '127.0.0.1';
	const settings = {
		...example,
		vm: {
			name: plan.name, dataCentre: plan.dataCentre, region: 'gdansk', address,
		},
		callers: {address, port: plan.callPort},
		operators: {address, port: plan.operatorPort, tokensFile: options.tokensFile},
		peers: {
			address, port: plan.peerPort, plain: true, seeds: plans.filter(other => other !== plan).map(other => `${address}:${other.peerPort}`),
		},
		platform: {url: options.platformUrl, pollMilliseconds: 1000},
		log: {level: options.logLevel, format: 'json'},
		answers: {keepForMilliseconds: options.keepForMilliseconds},
	};
	const path = join(folder, `${plan.name}.toml`);
	writeFileSync(path, stringify(settings));
	return path;
}
