declare module 'postject' {
  export function inject(
    file: string,
    resource: string,
    data: Buffer,
    options: { sentinelFuse: string },
  ): Promise<void>;
}
