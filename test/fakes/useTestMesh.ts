import { afterEach, beforeEach } from 'node:test';
import { startClock, stopClock } from '../../standins/memory/clock.js';
import { createTestMesh, startTestNode, type TestNode } from '../../standins/memory/nodes.js';

/** Returns a mesh on a virtual clock; both are reset before each test of the file. */
export function useTestMesh() {
  const mesh = {
    ...createTestMesh(),
    nodes: [] as TestNode[],
    /** Starts `count` nodes on the ports from `first`; the node on `first` is a seed. */
    startNodes: (dataCentre: string, first: number, count: number, seeds: number[] = []) => {
      for (let port = first; port < first + count; port += 1) {
        mesh.nodes.push(startTestNode(mesh, port, dataCentre, [first, ...seeds]));
      }
    },
  };
  beforeEach(() => {
    startClock();
    Object.assign(mesh, createTestMesh(), { nodes: [] });
  });
  afterEach(async () => {
    await Promise.all(mesh.nodes.map((node) => node.stop()));
    stopClock();
  });
  return mesh;
}
