/** Target sizes of the capacity projection, and generated resources. */
import {
	type BackendServer, backendServerSchema, type Service, serviceSchema, type StoredResource,
} from '../../src/common/model/resources.ts';

/** Projected sizes in about two years. */
export const target = {
	services: 1100, backendServers: 19_000, dataCentres: 15, changesPerDay: 20_000, callsPerSecond: 7_200_000,
};

export const daySeconds = 86_400;

/** Returns a unique identity of 22 characters, the length of real identities. */
export function identityOf(kind: string, index: number): string {
	return `${kind}${index}`.padEnd(22, '-').slice(0, 22);
}

/** Assigns data centres `dc-0` to `dc-14` in turn. */
export function dataCentreOf(index: number): string {
	return `dc-${index % target.dataCentres}`;
}

export function serviceOf(index: number): Service {
	return serviceSchema.parse({kind: 'service', name: `service-${index}`});
}

/** Returns a backend server; successive indices are spread evenly over the services. */
export function backendServerOf(index: number, services: number): BackendServer {
	return backendServerSchema.parse({
		kind: 'backend-server',
		name: `backend-server-${index}`,
		service: `service-${index % services}`,
		address: `10.${Math.floor(index / 65_536)}.${Math.floor(index / 256) % 256}.${index % 256}`,
		port: 9000,
		dataCentre: dataCentreOf(index),
	});
}

/** All services and backend servers of a size, in the form in which the platform's service stores them. */
export function storedResources(services: number, backendServers: number): StoredResource[] {
	const metadata = (identity: string): StoredResource['metadata'] => ({
		identity, createdAt: 1, version: 1, generation: 1,
	});
	return [
		...Array.from({length: services}, (_, index) => ({resource: serviceOf(index), metadata: metadata(identityOf('s', index))})),
		...Array.from({length: backendServers}, (_, index) => ({resource: backendServerOf(index, services), metadata: metadata(identityOf('b', index))})),
	];
}
