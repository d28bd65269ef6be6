/** Reads the resources of the examples, and maps their backend servers to this machine. */
import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {parse} from 'smol-toml';
import {z} from 'zod';
import {
	backendServerSchema, type BackendServer, type Resource, type Service, serviceSchema, type SharingRule, sharingRuleSchema,
} from '../common/model/resources.ts';
import {packageRoot} from '../stand-ins/program-files.ts';

const exampleFileSchema = z.object({
	service: z.array(serviceSchema.omit({kind: true})).default([]),
	'backend-server': z.array(backendServerSchema.omit({kind: true})).default([]),
	'sharing-rule': z.array(sharingRuleSchema.omit({kind: true})).default([]),
});

/** Resources of one customer's example. */
export type ExampleResources = {
	readonly services: readonly Service[];
	readonly backendServers: readonly BackendServer[];
	readonly sharingRules: readonly SharingRule[];
};

/** Reads `examples/CUSTOMER/services.toml` and `backend-servers.toml`. */
export function readExample(customer: string): ExampleResources {
	const files = ['services.toml', 'backend-servers.toml'].map(name => {
		const text = readFileSync(join(packageRoot, 'examples', customer, name), 'utf8');
		return exampleFileSchema.parse(parse(text));
	});
	return {
		services: files.flatMap(file => file.service.map(item => ({...item, kind: 'service' as const}))),
		backendServers: files.flatMap(file => file['backend-server'].map(item => ({...item, kind: 'backend-server' as const}))),
		sharingRules: files.flatMap(file => file['sharing-rule'].map(item => ({...item, kind: 'sharing-rule' as const}))),
	};
}

/** Returns the backend server with a port on this machine. The number at the end of its data centre's name selects the data centre. */
export function toLocalBackendServer(server: BackendServer, port: number, dataCentres: readonly string[]): BackendServer {
	const number = Number(/\d+$/v.exec(server.dataCentre)?.[0] ?? 1);
	return {
		...server, address: '127.0.0.1', port, dataCentre: dataCentres[(number - 1) % dataCentres.length]!,
	};
}

/** Lists all resources of a customer, with the given backend servers. */
export function allResources(example: ExampleResources, backendServers: readonly BackendServer[]): Resource[] {
	return [...example.services, ...example.sharingRules, ...backendServers];
}
